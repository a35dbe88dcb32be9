package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/app/dev"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/workload"
)

// hangGuard is the timeout for waits that would otherwise block forever.
const hangGuard = 60 * time.Second

// fleetConfig starts a fleet with the release note of a deployment and returns
// the configuration of a short run against it.
func fleetConfig(t *testing.T, dep workload.Deployment) Config {
	t.Helper()
	d, err := dev.New(dev.Config{Listen: "127.0.0.1:0", Routers: 1, Engines: 2, Seed: 1, Deployment: dep.Name, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := d.Drain(); err != nil {
			t.Errorf("drain: %v", err)
		}
	})
	if err := d.StartAndWait(hangGuard); err != nil {
		t.Fatal(err)
	}
	// On a busy machine, requests can take longer than the deployment's deadline.
	dep.Traffic.Timeout = hangGuard
	cfg := Config{
		Deployment: dep, Seed: 1, Duration: time.Hour, TimeLimit: hangGuard, MaxRequests: 25, Rate: 20, Concurrency: 8,
		FloodFactor: 5, ExampleLimits: true, Routers: []string{"http://" + d.CallerAddr()}, Keys: map[proto.AccountID]string{},
	}
	for _, k := range d.Keys() {
		cfg.Keys[k.Account] = k.Secret
	}
	return cfg
}

// Guards against example notes without the accounts, model or routes of the
// workload, responses that are parsed wrongly, and idempotency keys that a
// second run with the same seed reuses.
func TestRunAgainstFleet(t *testing.T) {
	for _, dep := range workload.Deployments() {
		t.Run(dep.Name, func(t *testing.T) {
			cfg := fleetConfig(t, dep)
			for range 2 {
				rep := Run(t.Context(), cfg)
				if rep.Stopped != StopRequestLimit || rep.Sent != 25 || rep.Answered != 25 || rep.Replayed != 0 || rep.ServiceErrors != 0 {
					t.Errorf("%+v", rep)
				}
				if rep.HitRate == nil || *rep.HitRate <= 0 || *rep.HitRate >= 1 || rep.FirstToken.P99 == nil || rep.Call.P99 == nil {
					t.Errorf("hit rate %s, first token %s, calls %s", formatMeasure(rep.HitRate, 3), rep.FirstToken, rep.Call)
				}
				if rep.Wasted != nil || rep.Wrongful == nil || *rep.Wrongful != 0 {
					t.Errorf("wasted %v, wrongful %v", rep.Wasted, rep.Wrongful)
				}
			}
		})
	}
}

// cancelOnWrite cancels a run when its first progress line is written.
type cancelOnWrite struct{ cancel context.CancelFunc }

func (c cancelOnWrite) Write(p []byte) (int, error) {
	c.cancel()
	return len(p), nil
}

// Guards against a run that continues after an interrupt, or that counts the
// requests it cut off as refusals of the routers.
func TestInterruptedRunReports(t *testing.T) {
	cfg := fleetConfig(t, workload.Karoo())
	cfg.MaxRequests = 1_000_000
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	cfg.Progress = cancelOnWrite{cancel}
	rep := Run(ctx, cfg)
	if rep.Stopped != StopInterrupted || rep.Sent == 0 || rep.Refused != 0 || rep.Answered+rep.Interrupted != rep.Sent {
		t.Errorf("%+v", rep)
	}
}

// Guards against wrong keys that are reported as an unreachable fleet or as
// answered requests.
func TestRefusedKey(t *testing.T) {
	cfg := fleetConfig(t, workload.Pompas())
	for id := range cfg.Keys {
		cfg.Keys[id] = "not-the-key-of-this-account"
	}
	rep := Run(t.Context(), cfg)
	want := Refusal{Cause: proto.CauseUnknownKey, Verdict: proto.NotRun, Count: 25}
	if !rep.AllRefused() || rep.Unreachable() || len(rep.Refusals) != 1 || rep.Refusals[0] != want {
		t.Errorf("%+v", rep)
	}
}

// Guards against streams that end early, have a gap or contain an error and
// still count as complete.
func TestBrokenStreams(t *testing.T) {
	const event1 = "id: q:v1:1\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n"
	const done = "data: [DONE]\n\n"
	const refusal = "event: error\ndata: {\"type\":\"urn:kumquatsill:problem:endpoint-failed\",\"verdict\":\"may_have_run\"}\n\n"
	for stream, want := range map[string]proto.Cause{
		event1 + done:                                "",
		": keep-alive\n\n" + event1 + done:           "",
		event1:                                       CauseIncompleteStream,
		strings.Replace(event1, ":1", ":2", 1):       CauseIncompleteStream,
		event1 + event1 + done:                       CauseIncompleteStream,
		event1 + refusal:                             proto.CauseEndpointFailed,
		event1 + "data: {\n\n" + done:                CauseMalformedResponse,
		event1 + "event: error\ndata: {}\n\n" + done: CauseMalformedResponse,
	} {
		r, res := &runner{start: time.Now()}, result{}
		r.readStream(strings.NewReader(stream), &res)
		if res.cause != want {
			t.Errorf("%q: cause %q, want %q", stream, res.cause, want)
		}
	}
}

// sampleReport returns the report of three generations, the last of which was
// refused. edit can change the configuration and the results before.
func sampleReport(t *testing.T, edit func(*Config, []result)) Report {
	t.Helper()
	cfg := Config{Deployment: workload.Pompas(), Seed: 3, Rate: 1}
	var results []result
	for i := range 3 {
		a := workload.Arrival{Account: "casa-recargas"}
		a.Request.ID = proto.RequestID(strings.Repeat("q", i+1))
		a.Request.Class = proto.ClassGenerate
		results = append(results, result{arrival: a, responded: true, status: 200, firstToken: 2 * time.Second, hasFirstToken: true, end: 3 * time.Second, usage: proto.Usage{PromptTokens: 100, CachedTokens: 25}})
	}
	results[2].hasFirstToken, results[2].usage = false, proto.Usage{}
	results[2].refuse("<b>odd</b>", proto.MayHaveRun)
	edit(&cfg, results)
	return (&runner{cfg: cfg, results: results}).report(StopCompleted, 4*time.Second)
}

// Guards against wrong measures, and against unknown measures that are shown as
// 0 in the table, the JSON or the page.
func TestReport(t *testing.T) {
	rep := sampleReport(t, func(*Config, []result) {})
	if *rep.HitRate != 0.25 || *rep.FirstToken.P50 != 2 || rep.FirstToken.P99 != nil || rep.Wrongful != nil || rep.Unfairness != nil {
		t.Errorf("%+v", rep)
	}
	data, err := json.Marshal(rep)
	if err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	if err := rep.WritePage(&page); err != nil {
		t.Fatal(err)
	}
	var table strings.Builder
	for _, row := range append(rep.Summary(), rep.RefusalRows()...) {
		_, _ = io.WriteString(&table, strings.Join(row, "|")+"\n")
	}
	for text, wants := range map[string][]string{
		string(data):   {`"wasted":null`, `"wrongful_refusals":null`, `"p99_seconds":null`, `"verdict":"may_have_run"`},
		table.String(): {"wasted recomputation|not visible|", "wrongful refusals|not visible|", "p50 2.000, p95 none", "prefix hit rate|0.250|", "<b>odd</b>|may_have_run|1"},
		page.String():  {"<td>not visible</td>", "&lt;b&gt;odd", "casa-recargas, p50: 2.000 s", "<rect"},
	} {
		for _, want := range wants {
			if !strings.Contains(text, want) {
				t.Errorf("no %q in:\n%s", want, text)
			}
		}
	}
}

// Guards against a time to first token that includes refusals above an
// account's rate or requests that the run cut off.
func TestReportLeavesOut(t *testing.T) {
	limited := sampleReport(t, func(_ *Config, results []result) { results[2].cause = proto.CauseRateLimited })
	cut := sampleReport(t, func(_ *Config, results []result) { results[2].interrupted = true })
	for _, rep := range []Report{limited, cut} {
		if rep.FirstToken.Samples != 2 || rep.FirstToken.P99 == nil || rep.Sent != 3 || rep.Answered != 2 {
			t.Errorf("%+v", rep)
		}
	}
	if limited.Refused != 1 || cut.Interrupted != 1 || cut.Refused != 0 {
		t.Errorf("refused %d, interrupted %d", limited.Refused, cut.Interrupted)
	}
	none := sampleReport(t, func(_ *Config, results []result) {
		for i := range results {
			results[i].usage = proto.Usage{}
		}
	})
	if none.HitRate != nil || none.NotVisible[measureHitRate] == "" {
		t.Errorf("hit rate without usage: %v", none.HitRate)
	}
}
