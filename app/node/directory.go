package node

import (
	"maps"
	"sync/atomic"

	"github.com/kumquatsill/kumquatsill/app/shell"
	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/router"
)

// routerMachine adapts a router's state machine to the shell.
//
// The machine's snapshot does not hold the addresses of other routers, so the
// adapter folds the same records of the config stream to find them.
type routerMachine struct {
	*router.Router
	state *configlog.State
	addrs atomic.Pointer[map[proto.RouterID]string]
}

func newRouterMachine(r *router.Router) *routerMachine {
	m := &routerMachine{Router: r, state: configlog.NewState(nil)}
	m.addrs.Store(&map[proto.RouterID]string{})
	return m
}

// Step implements proto.Machine.
func (m *routerMachine) Step(now proto.Instant, in proto.Envelope) {
	switch msg := in.Msg.(type) {
	case proto.LogRecords:
		if msg.Stream == proto.StreamConfig {
			m.foldRead(msg)
		}
	case proto.StateReply:
		// The router counts replies that cannot be adopted.
		_, _ = m.state.FoldReply(msg.Records)
		m.publish()
	}
	m.Router.Step(now, in)
}

func (m *routerMachine) foldRead(msg proto.LogRecords) {
	if len(msg.Records) == 0 {
		return
	}
	if first := msg.Records[0].Offset; first == msg.First {
		m.state.Skip(first)
	}
	for _, r := range msg.Records {
		m.state.Fold(r)
	}
	m.publish()
}

func (m *routerMachine) publish() {
	next := map[proto.RouterID]string{}
	for id, r := range m.state.Snapshot().Routers {
		next[id] = r.Addr
	}
	if !maps.Equal(next, *m.addrs.Load()) {
		m.addrs.Store(&next)
	}
}

// View implements shell.RouterMachine.
func (m *routerMachine) View() shell.View {
	s := m.Snapshot()
	return shell.View{Config: s.Config, Routers: *m.addrs.Load(), Ready: s.Ready}
}
