package node

import (
	"github.com/kumquatsill/kumquatsill/app/shell"
	"github.com/kumquatsill/kumquatsill/core/router"
)

// routerMachine adapts a router's state machine to the shell.
type routerMachine struct{ *router.Router }

// View implements shell.RouterMachine.
func (m routerMachine) View() shell.View {
	s := m.Snapshot()
	return shell.View{Config: s.Config, Routers: s.Routers, Ready: s.Ready, Funded: s.Funded}
}
