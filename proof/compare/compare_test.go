package compare_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/proof/compare"
	"github.com/kumquatsill/kumquatsill/proof/measure"
	"github.com/kumquatsill/kumquatsill/proof/workload"
)

// checkGoals runs a plan and reports each missed goal and each failed invariant.
// goals is the expected number of checked goals.
func checkGoals(t *testing.T, plan compare.Plan, goals int) {
	t.Helper()
	plan.Seed, plan.Parallel, plan.LoadDuration = 1, 4, 40*time.Second
	table, err := compare.Measure(plan)
	if err != nil {
		t.Fatal(err)
	}
	if len(table.Goals) != goals {
		t.Errorf("%d goals were checked, want %d", len(table.Goals), goals)
	}
	for _, g := range table.Goals {
		t.Log(g)
		if !g.Met {
			t.Errorf("missed: %s", g)
		}
	}
	for _, r := range table.Rows {
		if len(r.FailedInvariants) > 0 || r.DuplicateOrders > 0 || r.Report.Unfinished > 0 {
			t.Errorf("%s, %s, %s: failed invariants %v, %d orders ran twice, %d requests without an end",
				r.Deployment, r.Condition, r.Policy, r.FailedInvariants, r.DuplicateOrders, r.Report.Unfinished)
		}
	}
}

// Guards against a change to the policy, the agents or the stand-ins that makes
// the policy no better than a baseline. The bounds are those of section 11 of the
// design page.
func TestAheadOfBaselines(t *testing.T) {
	t.Parallel()
	checkGoals(t, compare.Plan{
		Policies:   append(compare.Baselines(), compare.View),
		Conditions: []compare.Condition{compare.Calm, compare.Crash},
	}, 13)
}

// Guards against a policy that falls further behind the oracle than the design
// page allows. Several seeds are pooled, as the p99 of one short run depends on
// only 5 requests.
func TestCloseToOracle(t *testing.T) {
	t.Parallel()
	checkGoals(t, compare.Plan{
		Policies:   []compare.Policy{compare.View, compare.Oracle},
		Conditions: []compare.Condition{compare.Calm},
		Seeds:      4,
	}, 4)
}

// Guards against measures that differ between two runs of the same seed.
func TestDeterminism(t *testing.T) {
	t.Parallel()
	s := compare.Settings{Deployment: workload.Karoo(), Condition: compare.Restart, Policy: compare.View, Seed: 7, LoadDuration: 30 * time.Second}
	var reports [2]measure.Report
	for i := range reports {
		result, err := compare.Run(s)
		if err != nil {
			t.Fatal(err)
		}
		reports[i] = measure.NewReport(result.Recorder)
	}
	if !reflect.DeepEqual(reports[0], reports[1]) {
		t.Errorf("two runs of one seed differ: %+v, %+v", reports[0], reports[1])
	}
}
