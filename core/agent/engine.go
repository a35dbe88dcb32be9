package agent

import (
	"fmt"
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/prefix"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// listRetryInterval is the time between two requests for the full cache list while
// none arrives.
const listRetryInterval = 500 * time.Millisecond

// engineState is what the agent knows about its engine.
type engineState struct {
	up          bool
	incarnation proto.Incarnation
	versions    map[string]string
	adapters    []string
	batch       int
	load        proto.LoadReport
	loadAt      proto.Instant
	// listAt is when the cache list may be requested again.
	listAt proto.Instant
}

func (a *Agent) onEngineUp(now proto.Instant, m proto.EngineUp) {
	if a.engine.up && a.engine.incarnation == m.Incarnation {
		a.engine.versions = m.Versions
		a.engine.adapters = m.Adapters
		return
	}
	a.failRuns()
	a.failOrders()
	a.engine = engineState{up: true, incarnation: m.Incarnation, versions: m.Versions, adapters: m.Adapters, batch: m.BatchSize}
	if a.engine.batch <= 0 {
		a.engine.batch = defaultBatchSize
	}
	a.index = prefix.New(m.Incarnation)
	a.resyncIndex(now)
}

func (a *Agent) onEngineDown() {
	a.engine.up = false
	a.failRuns()
	a.refuseQueuedJobs()
	a.failOrders()
	a.index = prefix.New("")
}

// failRuns ends the jobs that were running when the engine crashed.
func (a *Agent) failRuns() {
	for _, j := range a.sortedJobs() {
		if !j.started || j.ended {
			continue
		}
		a.stats.Crashed++
		a.failJob(j, proto.CauseEndpointFailed, proto.MayHaveRun, true)
	}
}

func (a *Agent) refuseQueuedJobs() {
	for _, j := range a.sortedJobs() {
		if j.started || j.ended {
			continue
		}
		a.queue.Cancel(j.dispatch.Attempt)
		a.refuseJob(j, proto.CauseEndpointFailed)
	}
}

// failJob ends a started job that has no result.
func (a *Agent) failJob(j *job, cause proto.Cause, verdict proto.Verdict, crashed bool) {
	a.unregisterRun(j)
	j.ended = true
	a.endedAttempts.add(j.attempt)
	a.removeJob(j)
	if j.attached() {
		d := j.dispatch
		d.Attempt = j.attempt
		a.sendRefusal(j.router, d, cause, verdict, crashed)
	}
}

// unregisterRun removes a started job from the running ones, which frees its place
// in the batch.
func (a *Agent) unregisterRun(j *job) {
	if a.runs[j.runID] == j {
		delete(a.runs, j.runID)
		a.running--
		a.queue.Done(j.dispatch.Attempt)
	}
}

// schedule starts queued jobs while the engine's batch has room.
func (a *Agent) schedule(now proto.Instant) {
	for a.engine.up && a.running < a.engine.batch {
		item, ok := a.queue.Next(now)
		if !ok {
			return
		}
		if j := a.findQueuedJob(item.Attempt); j != nil {
			a.start(now, j)
		} else {
			a.queue.Done(item.Attempt)
		}
	}
}

// findQueuedJob returns the waiting job that was queued under an attempt, even if
// another attempt has been attached to it since.
func (a *Agent) findQueuedJob(id proto.AttemptID) *job {
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
	a.runs[j.runID] = j
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
	j.prefill = a.uncachedTokens(d)
	a.Send(proto.EngineAddr(a.cfg.Endpoint), proto.EngineRun{
		Attempt: j.runID, StreamID: string(d.Account) + "/" + string(d.Request),
		Model: d.Model, Version: d.Version, Adapter: d.Adapter, Body: d.Body, Sampling: d.Sampling,
		MaxTokens: d.MaxTokens, PromptTokens: d.PromptTokens, Blocks: d.Blocks, ReusableBlocks: reuse,
		ResumeAfter: d.ResumeAfter, Priority: d.Priority, Import: d.Import,
	})
}

func (a *Agent) startCall(j *job) {
	d := j.dispatch
	if d.Intent != nil {
		id := intentID{stream: d.Intent.Stream, offset: d.Intent.Offset}
		first := a.startedIntents.add(id)
		a.cfg.Checks.Check(check.AtMostOnce, first, func() string {
			return fmt.Sprintf("intent %s/%d is started a second time", id.stream, id.offset)
		})
	}
	a.Send(proto.EngineAddr(a.cfg.Endpoint), proto.EngineCall{
		Attempt: j.runID, Method: d.Method, Path: d.Path, Query: d.Query, Body: d.Body,
		ContentType: d.ContentType, Account: d.Account, Timeout: d.Timeout,
	})
}

func (a *Agent) onToken(now proto.Instant, m proto.EngineToken) {
	j := a.runs[m.Attempt]
	if j == nil {
		a.stats.StaleEvents++
		return
	}
	if m.Seq != j.currentSeq+1 {
		a.onOutOfOrderToken(j, m.Seq)
		return
	}
	j.currentSeq = m.Seq
	j.prefill = 0
	j.bufferChunk(proto.Chunk{Seq: m.Seq, Text: m.Text})
	if j.attached() {
		a.Send(j.router, proto.Chunk{Attempt: j.attempt, Seq: m.Seq, Text: m.Text})
	}
}

// onOutOfOrderToken handles output that is out of sequence. A repeat is dropped. A
// gap ends the run, so that no caller receives an incomplete stream.
func (a *Agent) onOutOfOrderToken(j *job, seq proto.Seq) {
	if seq <= j.currentSeq {
		a.stats.StaleEvents++
		return
	}
	a.Send(proto.EngineAddr(a.cfg.Endpoint), proto.EngineCancel{Attempt: j.runID})
	a.failJob(j, proto.CauseStreamBroken, proto.MayHaveRun, false)
}

func (a *Agent) onDone(now proto.Instant, m proto.EngineDone) {
	j := a.runs[m.Attempt]
	if j == nil {
		a.stats.StaleEvents++
		return
	}
	if j.dispatch.Class == proto.ClassGenerate && m.LastSeq != j.currentSeq {
		a.failJob(j, proto.CauseStreamBroken, proto.MayHaveRun, false)
		return
	}
	a.unregisterRun(j)
	a.stats.Finished++
	j.ended = true
	a.setExpiry(j, roundUp(now.Add(finishedRetention)))
	j.finish = &proto.Finish{
		LastSeq: j.currentSeq, Status: m.Status, ContentType: m.ContentType, Body: m.Body, Usage: m.Usage,
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
		a.unregisterRun(j)
		a.forgetStartedIntent(j.dispatch)
	}
	a.failJob(j, m.Cause, m.Verdict, m.Crashed)
}

// forgetStartedIntent allows an intent to be dispatched again after the engine has
// reported that it did not run it.
func (a *Agent) forgetStartedIntent(d proto.Dispatch) {
	if d.Intent == nil {
		return
	}
	id := intentID{stream: d.Intent.Stream, offset: d.Intent.Offset}
	a.startedIntents.remove(id)
	a.acceptedIntents.remove(id)
}

func (a *Agent) onLoad(now proto.Instant, m proto.LoadReport) {
	if m.Incarnation != a.engine.incarnation {
		a.stats.StaleEvents++
		return
	}
	a.engine.load, a.engine.loadAt = m, now
}

// resyncIndex requests the full cache list while the index is out of sync.
func (a *Agent) resyncIndex(now proto.Instant) {
	if !a.engine.up || !a.index.NeedsList() || now < a.engine.listAt {
		return
	}
	a.engine.listAt = now.Add(listRetryInterval)
	a.Send(proto.EngineAddr(a.cfg.Endpoint), proto.CacheListRequest{})
}
