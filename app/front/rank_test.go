package front

import (
	"testing"

	"github.com/kumquatsill/kumquatsill/core/serving"
	"github.com/kumquatsill/kumquatsill/platform"
)

// Guards against less urgent kinds of request being served before more urgent ones under
// overload because one account priority hides the priorities of all routes, against an
// account's priority losing its precedence, and against any change without the setting.
func TestRoutesRankRequestsOfEqualAccounts(t *testing.T) {
	rank := func(ranksRoutes, hasAccount bool, account, route int) int {
		f := &Front{}
		f.settings.Store(&platform.Settings{RoutesRankAccounts: ranksRoutes})
		x := &request{front: f, route: &serving.Route{Priority: route}}
		if hasAccount {
			x.account = &serving.Account{Priority: account, HasPriority: true}
		}
		return x.rank()
	}
	if a, b := rank(true, true, 1, 0), rank(true, true, 1, 2); a >= b {
		t.Errorf("ranks %d and %d of routes of priority 0 and 2", a, b)
	}
	if a, b := rank(true, true, 0, 7), rank(true, true, 1, 0); a >= b {
		t.Errorf("ranks %d and %d of accounts of priority 0 and 1", a, b)
	}
	if a, b := rank(true, false, 0, 0), rank(true, false, 0, 2); a >= b {
		t.Errorf("ranks %d and %d without an account", a, b)
	}
	for _, route := range []int{0, 2} {
		if got := rank(false, true, 1, route); got != 1 {
			t.Errorf("rank %d without the setting", got)
		}
	}
}
