package agent

import (
	"cmp"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// job is an accepted dispatch. Several attempts may be attached to it, one after
// the other, when its stream is resumed.
type job struct {
	dispatch proto.Dispatch
	// attempt and router are the ones currently attached. router is the zero value
	// if none is.
	attempt proto.AttemptID
	router  proto.Addr
	// runID is the attempt that the job was started for, by which the engine knows it.
	runID   proto.AttemptID
	started bool
	ended   bool
	// prefill is the number of prompt tokens to compute before the first output
	// token; 0 once that has arrived.
	prefill int64

	chunks        []proto.Chunk
	bufferedBytes int
	// baseSeq is the sequence number before chunks[0], currentSeq that of the last
	// chunk.
	baseSeq    proto.Seq
	currentSeq proto.Seq
	finish     *proto.Finish
	// deadline is when the attached attempt times out. After it, the response is
	// of no use to the caller.
	deadline proto.Instant
	// expires is when the job is ended, or removed if it has ended.
	expires proto.Instant
}

// streamKey identifies a stream. It contains the account, so that no account can
// attach to the stream of another one.
type streamKey struct {
	account proto.AccountID
	request proto.RequestID
	version string
}

func (j *job) key() streamKey {
	return streamKey{account: j.dispatch.Account, request: j.dispatch.Request, version: j.dispatch.Version}
}

func (j *job) attached() bool { return j.router != proto.Addr{} }

// bufferChunk stores a chunk for a router that resumes the stream, and discards the
// oldest chunks beyond maxBufferedBytes.
func (j *job) bufferChunk(c proto.Chunk) {
	j.chunks = append(j.chunks, c)
	j.bufferedBytes += len(c.Text)
	for j.bufferedBytes > maxBufferedBytes && len(j.chunks) > 1 {
		j.bufferedBytes -= len(j.chunks[0].Text)
		j.baseSeq = j.chunks[0].Seq
		j.chunks = j.chunks[1:]
	}
}

// canResumeAfter reports whether all chunks after seq are still buffered.
func (j *job) canResumeAfter(seq proto.Seq) bool { return seq >= j.baseSeq && seq <= j.currentSeq }

// sortedJobs returns the jobs ordered by attempt, so that the same inputs give the
// same outputs.
func (a *Agent) sortedJobs() []*job {
	jobs := make([]*job, 0, len(a.jobs))
	for _, j := range a.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(x, y *job) int { return cmp.Compare(x.attempt, y.attempt) })
	return jobs
}

// prefillTokens returns the number of prompt tokens to compute for the running jobs.
func (a *Agent) prefillTokens() int64 {
	var tokens int64
	for _, j := range a.runs {
		tokens += j.prefill
	}
	return tokens
}

func (a *Agent) addJob(j *job) {
	a.jobs[j.attempt] = j
	if j.dispatch.Class == proto.ClassGenerate {
		a.streams[j.key()] = j
	}
}

// removeJob deletes a job from all indexes.
func (a *Agent) removeJob(j *job) {
	delete(a.jobs, j.attempt)
	delete(a.runs, j.runID)
	if a.streams[j.key()] == j {
		delete(a.streams, j.key())
	}
}
