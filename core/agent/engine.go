package agent

import (
	"fmt"
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/prefix"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// listRetry is the time between two requests for the full cache list.
const listRetry = 500 * time.Millisecond

// engineState is what the agent knows of its engine.
type engineState struct {
	up          bool
	incarnation proto.Incarnation
	versions    map[string]string
	adapters    []string
	batch       int
	load        proto.LoadReport
	loadAt      proto.Instant
	listAt      proto.Instant
}

func (a *Agent) onEngineUp(now proto.Instant, m proto.EngineUp) {
	if a.engine.up && a.engine.incarnation == m.Incarnation {
		a.engine.versions = m.Versions
		a.engine.adapters = m.Adapters
		return
	}
	a.endRuns()
	a.dropOrders()
	a.engine = engineState{up: true, incarnation: m.Incarnation, versions: m.Versions, adapters: m.Adapters, batch: m.BatchSize}
	if a.engine.batch <= 0 {
		a.engine.batch = defaultBatch
	}
	a.index = prefix.New(m.Incarnation)
	a.resyncIndex(now)
}

func (a *Agent) onEngineDown() {
	a.engine.up = false
	a.endRuns()
	a.refuseQueued()
	a.dropOrders()
	a.index = prefix.New("")
}

// endRuns ends what was running when the engine died.
func (a *Agent) endRuns() {
	for _, j := range a.sortedJobs() {
		if !j.started || j.ended {
			continue
		}
		a.stats.Crashed++
		a.endBroken(j, proto.CauseEndpointFailed, proto.MayHaveRun, true)
	}
}

func (a *Agent) refuseQueued() {
	for _, j := range a.sortedJobs() {
		if j.started || j.ended {
			continue
		}
		a.queue.Cancel(j.dispatch.Attempt)
		a.refuseWaiting(j, proto.CauseEndpointFailed)
	}
}

// endBroken ends a started job without an answer.
func (a *Agent) endBroken(j *job, cause proto.Cause, verdict proto.Verdict, crashed bool) {
	a.stop(j)
	j.ended = true
	a.closed.add(j.attempt)
	a.remove(j)
	if j.attached() {
		d := j.dispatch
		d.Attempt = j.attempt
		a.sendRefusal(j.router, d, cause, verdict, crashed)
	}
}

// stop takes a started job off the engine's books.
func (a *Agent) stop(j *job) {
	if a.runs[j.run] == j {
		delete(a.runs, j.run)
		a.running--
		a.queue.Done(j.dispatch.Attempt)
	}
}

// schedule starts queued work while the engine has room.
func (a *Agent) schedule(now proto.Instant) {
	for a.engine.up && a.running < a.engine.batch {
		item, ok := a.queue.Next(now)
		if !ok {
			return
		}
		if j := a.findQueued(item.Attempt); j != nil {
			a.start(now, j)
		} else {
			a.queue.Done(item.Attempt)
		}
	}
}

// findQueued returns the waiting job that was queued under an attempt, also
// when its stream has gone over to another attempt since.
func (a *Agent) findQueued(id proto.AttemptID) *job {
	if j := a.jobs[id]; j != nil && !j.started && !j.ended {
		return j
	}
	for _, j := range a.jobs {
		if j.dispatch.Attempt == id && !j.started && !j.ended {
			return j
		}
	}
	return nil
}

func (a *Agent) start(now proto.Instant, j *job) {
	j.started = true
	a.setExpiry(j, a.runningExpiry(now, j))
	a.running++
	a.runs[j.run] = j
	if j.dispatch.Class == proto.ClassCall {
		a.startCall(j)
		return
	}
	a.startRun(j)
}

func (a *Agent) startRun(j *job) {
	d := j.dispatch
	reuse := a.index.Lookup(a.engine.incarnation, d.Blocks)
	a.cfg.Checks.Check(check.CacheIsolation, a.engine.versions[d.Model] == d.Version && (reuse == 0 || a.index.Incarnation() == a.engine.incarnation), func() string {
		return fmt.Sprintf("attempt %s would reuse %d blocks of incarnation %s", d.Attempt, reuse, a.index.Incarnation())
	})
	j.prefill = a.missing(d)
	a.Send(proto.EngineAddr(a.cfg.Endpoint), proto.EngineRun{
		Attempt: j.run, StreamID: string(d.Account) + "/" + string(d.Request),
		Model: d.Model, Version: d.Version, Adapter: d.Adapter, Body: d.Body, Sampling: d.Sampling,
		MaxTokens: d.MaxTokens, PromptTokens: d.PromptTokens, Blocks: d.Blocks, ReusableBlocks: reuse,
		ResumeAfter: d.ResumeAfter, Priority: d.Priority, Import: d.Import,
	})
}

func (a *Agent) startCall(j *job) {
	d := j.dispatch
	if d.Intent != nil {
		id := intentID{stream: d.Intent.Stream, offset: d.Intent.Offset}
		first := a.started.add(id)
		a.cfg.Checks.Check(check.AtMostOnce, first, func() string {
			return fmt.Sprintf("intent %s/%d is started a second time", id.stream, id.offset)
		})
	}
	a.Send(proto.EngineAddr(a.cfg.Endpoint), proto.EngineCall{
		Attempt: j.run, Method: d.Method, Path: d.Path, Query: d.Query, Body: d.Body,
		ContentType: d.ContentType, Account: d.Account, Timeout: d.Timeout,
	})
}

func (a *Agent) onToken(now proto.Instant, m proto.EngineToken) {
	j := a.runs[m.Attempt]
	if j == nil {
		a.stats.StaleEvents++
		return
	}
	if m.Seq != j.last+1 {
		a.onBrokenRun(j, m.Seq)
		return
	}
	j.last = m.Seq
	j.prefill = 0
	j.keep(proto.Chunk{Seq: m.Seq, Text: m.Text})
	if j.attached() {
		a.Send(j.router, proto.Chunk{Attempt: j.attempt, Seq: m.Seq, Text: m.Text})
	}
}

// onBrokenRun handles output that is out of order: a repeat is dropped, a gap
// ends the run, so that no stream with a hole goes on.
func (a *Agent) onBrokenRun(j *job, seq proto.Seq) {
	if seq <= j.last {
		a.stats.StaleEvents++
		return
	}
	a.Send(proto.EngineAddr(a.cfg.Endpoint), proto.EngineCancel{Attempt: j.run})
	a.endBroken(j, proto.CauseStreamBroken, proto.MayHaveRun, false)
}

func (a *Agent) onDone(now proto.Instant, m proto.EngineDone) {
	j := a.runs[m.Attempt]
	if j == nil {
		a.stats.StaleEvents++
		return
	}
	if j.dispatch.Class == proto.ClassGenerate && m.LastSeq != j.last {
		a.endBroken(j, proto.CauseStreamBroken, proto.MayHaveRun, false)
		return
	}
	a.stop(j)
	a.stats.Finished++
	j.ended = true
	a.setExpiry(j, roundUp(now.Add(finishedFor)))
	j.finish = &proto.Finish{
		LastSeq: j.last, Status: m.Status, ContentType: m.ContentType, Body: m.Body, Usage: m.Usage,
	}
	if j.attached() {
		a.sendFinish(j)
	}
}

func (a *Agent) sendFinish(j *job) {
	f := *j.finish
	f.Stamp, f.Attempt, f.Report = a.stamp, j.attempt, a.report(j.dispatch.Blocks)
	a.Send(j.router, f)
}

func (a *Agent) onFailed(m proto.EngineFailed) {
	j := a.runs[m.Attempt]
	if j == nil {
		a.stats.StaleEvents++
		return
	}
	if m.Verdict == proto.NotRun {
		a.stop(j)
		a.forgetStarted(j.dispatch)
	}
	a.endBroken(j, m.Cause, m.Verdict, m.Crashed)
}

// forgetStarted allows an intent again that the service says it did not run.
func (a *Agent) forgetStarted(d proto.Dispatch) {
	if d.Intent == nil {
		return
	}
	id := intentID{stream: d.Intent.Stream, offset: d.Intent.Offset}
	a.started.remove(id)
	a.intents.remove(id)
}

func (a *Agent) onLoad(now proto.Instant, m proto.LoadReport) {
	if m.Incarnation != a.engine.incarnation {
		a.stats.StaleEvents++
		return
	}
	a.engine.load, a.engine.loadAt = m, now
}

// resyncIndex asks for the full list while the index is in doubt.
func (a *Agent) resyncIndex(now proto.Instant) {
	if !a.engine.up || !a.index.NeedsList() || now < a.engine.listAt {
		return
	}
	a.engine.listAt = now.Add(listRetry)
	a.Send(proto.EngineAddr(a.cfg.Endpoint), proto.CacheListRequest{})
}
