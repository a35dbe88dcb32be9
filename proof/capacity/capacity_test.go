package capacity

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

func BenchmarkCapacity(b *testing.B) { RunBenchmarks(b) }

func readSaved(t *testing.T) Results {
	t.Helper()
	f, err := os.Open("../../docs/capacity.json")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	r, err := ReadJSON(f)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a pair of role and bound that is missing from the page or
// listed twice.
func TestEachRoleHasEachBound(t *testing.T) {
	rows, err := readSaved(t).Rows()
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]int{}
	for _, r := range rows {
		seen[fmt.Sprint(r.Role, "/", r.Bound)]++
		if r.Basis == "" || r.Derivation == "" || r.Limit <= 0 || r.Unit == "" {
			t.Errorf("incomplete row %+v", r)
		}
		if (r.Basis == Measured || r.Basis == Computed) && r.Value < 0 {
			t.Errorf("negative value in row %+v", r)
		}
	}
	for _, role := range Roles() {
		for _, bound := range Bounds() {
			if n := seen[fmt.Sprint(role, "/", bound)]; n != 1 {
				t.Errorf("%d rows for %s and %s, want 1", n, role, bound)
			}
		}
	}
	if want := len(Roles()) * len(Bounds()); len(rows) != want {
		t.Errorf("%d rows, want %d", len(rows), want)
	}
}

// Guards against tables in docs/CAPACITY.md that differ from the saved results.
func TestPageHasTheSavedTables(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	tables, err := readSaved(t).Tables()
	if err != nil {
		t.Fatal(err)
	}
	again, err := ReplaceTables(string(page), tables)
	if err != nil {
		t.Fatal(err)
	}
	if again != string(page) {
		t.Error("the tables differ; run: go run ./proof/cmd/capacity --read docs/capacity.json --page docs/CAPACITY.md")
	}
}

// Guards against results that change when they are saved and read again, and
// against a missing series, which would appear as zeros in the tables.
func TestSavedResults(t *testing.T) {
	r := readSaved(t)
	var out bytes.Buffer
	if err := WriteJSON(&out, r); err != nil {
		t.Fatal(err)
	}
	file, err := os.ReadFile("../../docs/capacity.json")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(out.Bytes(), file) {
		t.Error("the saved results change when they are read and saved again")
	}
	for i := range r.Series {
		incomplete := r
		incomplete.Series = append(append([]Series{}, r.Series[:i]...), r.Series[i+1:]...)
		if _, err := incomplete.Rows(); err != nil && !strings.Contains(err.Error(), r.Series[i].ID) {
			t.Errorf("without %s: %v", r.Series[i].ID, err)
		}
	}
	r.Series = r.Series[1:]
	if _, err := r.Rows(); err == nil {
		t.Error("results without their first series were accepted")
	}
}

// Guards against a fit that misses its points, and against an extrapolation
// that ignores the cap or falls below the measured values.
func TestLine(t *testing.T) {
	s := Series{Target: 100, Points: []Point{{1, 5}, {2, 7}, {4, 11}}}
	if l := s.LinearFit(); l.Slope != 2 || l.Intercept != 3 {
		t.Errorf("line %+v, want slope 2 and intercept 3", l)
	}
	if v := s.AtTarget(); v != 203 {
		t.Errorf("%v at the target, want 203", v)
	}
	s.Cap = 50
	if v := s.AtTarget(); v != 50 {
		t.Errorf("%v at the target, want the cap of 50", v)
	}
	falling := Series{Target: 100, Points: []Point{{1, 5}, {2, 4}, {3, 3}}}
	if v := falling.AtTarget(); v != 5 {
		t.Errorf("%v for a falling quantity that was not measured at the target, want the largest measured value 5", v)
	}
}

// benchOutput returns output as go test prints it, with every metric set to
// value.
func benchOutput(value string) string {
	var b strings.Builder
	b.WriteString("goos: linux\n")
	for _, bench := range Benchmarks() {
		for _, size := range bench.Sizes {
			fmt.Fprintf(&b, "BenchmarkCapacity/%s/%d-2 \t 100 \t %s ns/op", bench.Name, size, value)
			for _, m := range bench.Metrics {
				if m.Name != metricNanosPerOp {
					fmt.Fprintf(&b, "\t %s %s", value, m.Name)
				}
			}
			b.WriteString("\n")
		}
	}
	return b.String() + "PASS\n"
}

// Guards against values that are misread from the output of go test, and
// against malformed or incomplete output that is accepted.
func TestParseBench(t *testing.T) {
	series, err := ParseBench(strings.NewReader(benchOutput("12.5")))
	if err != nil {
		t.Fatal(err)
	}
	r := readSaved(t)
	if err := r.Replace(series); err != nil {
		t.Fatal(err)
	}
	s, err := r.find(benchSeriesID("choose", metricNanosPerOp))
	if err != nil || len(s.Points) != 3 || s.Points[2] != (Point{600, 12.5}) {
		t.Errorf("series %+v, error %v", s, err)
	}
	_, rest, _ := strings.Cut(benchOutput("12.5"), "BenchmarkCapacity/choose/600")
	for name, input := range map[string]string{
		"a missing benchmark": "BenchmarkCapacity/index/1000-2 1 1 ns/op\n" + rest,
		"a bad figure":        benchOutput("x"),
		"nothing":             "",
	} {
		if _, err := ParseBench(strings.NewReader(input)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// Guards against a meter that misses a kind of control traffic or counts
// requests as control traffic, and against a simulated fleet in which requests
// are refused.
func TestMeasureNode(t *testing.T) {
	s := Sizes{Routers: 6, Endpoints: 6, Accounts: 5, Models: 2, RequestRate: 2}
	n, err := MeasureRouter(s)
	if err != nil {
		t.Fatal(err)
	}
	if n.Refused != 0 || n.Answered < 55 {
		t.Errorf("%d requests answered and %d refused, want 60 and 0", n.Answered, n.Refused)
	}
	for kind, traffic := range map[string]Traffic{"beats": n.Beats, "grants": n.Grants, "config": n.Config, "audit": n.Audit, "replies": n.Replies} {
		if traffic.Messages <= 0 || traffic.Bytes < 50*traffic.Messages {
			t.Errorf("%s: %+v", kind, traffic)
		}
	}
	// 5 peers; every 469 ms a heartbeat to each and a reply to its heartbeat.
	if want := 2 * 5 / heartbeatInterval.Seconds(); n.Beats.Messages < 0.9*want || n.Beats.Messages > 1.1*want {
		t.Errorf("%.1f heartbeat messages/s, want about %.1f", n.Beats.Messages, want)
	}
	if n.Other.Messages != 0 {
		t.Errorf("unclassified control traffic %+v", n.Other)
	}
	if !belongsToRequest(proto.Dispatch{}) || belongsToRequest(proto.PeerBeat{}) {
		t.Error("a dispatch must count as request traffic and a heartbeat as control traffic")
	}
}

// Guards against log appends that MeasureFleet does not count.
func TestMeasureFleet(t *testing.T) {
	c, err := MeasureFleet(4)
	if err != nil {
		t.Fatal(err)
	}
	// 4 holders renew their leases every 2 s; each router appends an audit
	// batch every 5 s.
	if c.RenewalRate < 1.8 || c.RenewalRate > 2.2 || c.AuditAppendRate < 0.7 || c.AuditAppendRate > 0.9 || c.AppendsPerCall < 1 || c.AppendsPerCall > 2 || c.RestartRecords < 1 {
		t.Errorf("%+v", c)
	}
	if c.NoteDelaySeconds <= 0 || c.NoteDelaySeconds > BoundNoteDelay.limit() {
		t.Errorf("a note took %v s", c.NoteDelaySeconds)
	}
}

// Guards against a router that keeps admitting keyed traffic in a region that
// is cut off from the log and from the region that can read it, because the
// routers within the region still receive each other's heartbeats.
func TestMeasurePartition(t *testing.T) {
	c, err := MeasurePartition(8)
	if err != nil {
		t.Fatal(err)
	}
	if c.RegionSize != 4 || c.Serving != 0 || c.SlotsBefore == 0 {
		t.Errorf("%+v, want 4 routers in the region, 0 serving and some slots before", c)
	}
}

// Guards against a measurement that loses events on their way to the agent.
func TestMeasureAgent(t *testing.T) {
	c, err := MeasureAgent(AgentLoad{Blocks: 1000, Events: 20})
	if err != nil {
		t.Fatal(err)
	}
	if c.CPUPercent <= 0 || c.HeapBytes < 1000*8 || c.LocalTraffic.Messages < 9.9 || c.LocalTraffic.Messages > 10.1 {
		t.Errorf("%+v", c)
	}
}
