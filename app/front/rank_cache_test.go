package front

import (
	"testing"

	"github.com/kumquatsill/kumquatsill/core/admission"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/relay"
	"github.com/kumquatsill/kumquatsill/core/serving"
	"github.com/kumquatsill/kumquatsill/platform"
)

// Guards against requests that endpoints may preempt, and read again under newer weights, sharing
// cache entries with others, and against requests with long shared parts losing these.
func TestLessUrgentRequestSharesNoCacheEntries(t *testing.T) {
	f := &Front{}
	f.settings.Store(&platform.Settings{RoutesRankAccounts: true})
	x := &request{front: f, route: &serving.Route{Priority: 2}}
	x.info.ID = "a"
	x.info.Parts = []place.Part{{ID: "top", Tokens: 200}, {ID: "own", Tokens: 600}}
	if whole := x.wholePrompt(); whole.Tokens != 800 || whole.ID == "top" {
		t.Errorf("the prompt is %+v", whole)
	}
	x.isBehind = true
	if got := x.endpointPriority(); got != x.priority()+1 {
		t.Errorf("endpoints are told priority %d", got)
	}
	x.info.Model, x.route.PromptParts = "m", true
	x.relay = relay.New(x.route, nil)
	f.admission = admission.New()
	// The watch of a stalled attempt makes a query, too, after the choice.
	if q := x.query(); !x.isBehind || len(q.Parts) != 1 {
		t.Errorf("a further query changes what endpoints are told: %v, %d parts", x.isBehind, len(q.Parts))
	}
	x.info.Parts[0].Tokens = maxUnsharedTokens + 1
	if x.mayWaitForUrgent() {
		t.Error("a request with a long shared part gives up its cache entries")
	}
}
