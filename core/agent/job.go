package agent

import (
	"cmp"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// job is one accepted piece of work, from the queue to its end. Several
// attempts may follow its stream one after the other.
type job struct {
	dispatch proto.Dispatch
	// attempt and router are those attached now; router is zero when none is.
	attempt proto.AttemptID
	router  proto.Addr
	// run is the attempt under which the engine knows the job.
	run     proto.AttemptID
	started bool
	ended   bool
	// prefill is the prompt work left until the first token, in tokens.
	prefill int64

	chunks []proto.Chunk
	bytes  int
	// first is the number of the chunk before chunks[0].
	first  proto.Seq
	last   proto.Seq
	finish *proto.Finish
	// deadline is when the caller has no more use for the answer.
	deadline proto.Instant
	// expires is when a job that waits, is detached or has ended is dropped.
	expires proto.Instant
}

// streamKey names a stream. The account is part of it, so that no account
// can attach to another's stream.
type streamKey struct {
	account proto.AccountID
	request proto.RequestID
	version string
}

func (j *job) key() streamKey {
	return streamKey{account: j.dispatch.Account, request: j.dispatch.Request, version: j.dispatch.Version}
}

func (j *job) attached() bool { return j.router != proto.Addr{} }

// keep stores a chunk for a router that resumes, and drops the oldest ones
// above the size limit.
func (j *job) keep(c proto.Chunk) {
	j.chunks = append(j.chunks, c)
	j.bytes += len(c.Text)
	for j.bytes > maxStreamBytes && len(j.chunks) > 1 {
		j.bytes -= len(j.chunks[0].Text)
		j.first = j.chunks[0].Seq
		j.chunks = j.chunks[1:]
	}
}

// holds reports whether all chunks after seq can still be sent.
func (j *job) holds(seq proto.Seq) bool { return seq >= j.first && seq <= j.last }

// sortedJobs returns the jobs in the order of their attempts, so that runs
// with the same inputs give the same outputs.
func (a *Agent) sortedJobs() []*job {
	jobs := make([]*job, 0, len(a.jobs))
	for _, j := range a.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(x, y *job) int { return cmp.Compare(x.attempt, y.attempt) })
	return jobs
}

// prefilling returns the prompt tokens of runs that have no token yet.
func (a *Agent) prefilling() int64 {
	var tokens int64
	for _, j := range a.runs {
		tokens += j.prefill
	}
	return tokens
}

func (a *Agent) add(j *job) {
	a.jobs[j.attempt] = j
	if j.dispatch.Class == proto.ClassGenerate {
		a.streams[j.key()] = j
	}
}

// remove forgets a job.
func (a *Agent) remove(j *job) {
	delete(a.jobs, j.attempt)
	delete(a.runs, j.run)
	if a.streams[j.key()] == j {
		delete(a.streams, j.key())
	}
}
