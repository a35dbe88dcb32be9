package capacity

import "fmt"

// Basis tells whether a value is measured, computed or not known.
type Basis string

// Bases.
const (
	// Measured is for a measured value or its linear extrapolation.
	Measured Basis = "measured"
	// Computed is for a value derived from measurements and constants.
	Computed Basis = "computed"
	Unknown  Basis = "unknown"
	// NotApplicable is for a bound that does not apply to a role.
	NotApplicable Basis = "does not apply"
)

// Row is the value of one role for one bound at the target size.
type Row struct {
	Role  Role    `json:"role"`
	Bound Bound   `json:"bound"`
	Value float64 `json:"value"`
	Limit float64 `json:"limit"`
	Unit  string  `json:"unit"`
	Basis Basis   `json:"basis"`
	// Derivation names the measurements and assumptions behind the value.
	Derivation string `json:"from"`
}

// Met reports whether the value is known and within the limit.
func (r Row) Met() bool { return (r.Basis == Measured || r.Basis == Computed) && r.Value <= r.Limit }

// Margin describes the ratio of the value to the limit, for the table.
func (r Row) Margin() string {
	switch {
	case r.Basis == Unknown || r.Basis == NotApplicable:
		return "-"
	case r.Value <= r.Limit && r.Value > 0:
		return fmt.Sprintf("%.3g times below", r.Limit/r.Value)
	case r.Value <= r.Limit:
		return "whole bound"
	}
	return fmt.Sprintf("missed, %.3g times above", r.Value/r.Limit)
}

// rowBuilder builds the rows from the results. It keeps the first error.
type rowBuilder struct {
	results Results
	err     error
	rows    []Row
}

func (b *rowBuilder) series(id string) Series {
	s, err := b.results.find(id)
	if err != nil && b.err == nil {
		b.err = err
	}
	return s
}

func (b *rowBuilder) atTarget(id string) float64 { return b.series(id).AtTarget() }

func (b *rowBuilder) add(role Role, bound Bound, basis Basis, value float64, derivation string) {
	b.rows = append(b.rows, Row{Role: role, Bound: bound, Value: value, Limit: bound.limit(), Unit: bound.unit(), Basis: basis, Derivation: derivation})
}

// routerAtTarget extrapolates a quantity of a router to the target size: the
// value at the base sizes, plus the increase in each dimension from its base
// size to its target.
func (b *rowBuilder) routerAtTarget(quantity string) float64 {
	base, sum := 0.0, 0.0
	for _, d := range dimensions() {
		s := b.series(routerSeriesID(d.name, quantity))
		base = s.valueAt(d.sizes[1])
		sum += s.AtTarget() - base
	}
	return base + sum
}

const (
	// bucketLeases is the number of leases on groups of accounts in core/limit.
	bucketLeases  = maxHolders - 1
	secondsPerDay = 86_400
	// replacedRoutersPerDay is an upper bound: it takes all 61 processes that
	// are replaced or fail on a day for routers.
	replacedRoutersPerDay = 54 + 7
)

// callsPerSecond is the assumed rate of calls that must not be repeated, 1% of
// all requests. The design states no rate.
const callsPerSecond = 44

// Rows returns one row for each pair of role and bound.
func (r Results) Rows() ([]Row, error) {
	b := &rowBuilder{results: r}
	b.routerRows()
	b.agentRows()
	b.bucketRows()
	b.rolloutRows()
	b.logRows()
	b.operatorRows()
	return b.rows, b.err
}

// notes returns the time in seconds until a note is in force: its propagation
// through the log plus the processor time at a router.
func (b *rowBuilder) notes() float64 { return b.atTarget("fleet/note") + b.noteCPUSeconds() }

// noteCPUSeconds returns the processor time in seconds that a router takes to
// apply a note that adds or removes an endpoint.
func (b *rowBuilder) noteCPUSeconds() float64 {
	return (b.atTarget(benchSeriesID("fold-note", metricNanosPerOp)) + b.atTarget(benchSeriesID("configure", metricNanosPerOp))) / 1e9
}

// noteDelayDerivation is the derivation of the value that notes returns.
const noteDelayDerivation = "measured way of a note through the log, plus folding it and placing 600 endpoints anew; no faults"

func (b *rowBuilder) routerRows() {
	t := b.results.Target
	framed := max(b.routerAtTarget("control-bytes")+framingBytes*b.routerAtTarget("control-messages"), t.Control().framed())
	notes := 100 * max(TargetNotesPerDay*b.noteCPUSeconds(), b.atTarget("router/notes/cpu")) / secondsPerDay
	cpu := max(b.routerAtTarget("control-cpu"), t.ControlCPU)
	b.add(RoleRouter, BoundProcessor, Measured, cpu+notes, fmt.Sprintf("slopes over 5 sizes %.3f, measured at the target %.3f, the larger, plus %.3f computed for 1,300 notes a day that all add or remove an endpoint; control work with JSON, without HTTP", b.routerAtTarget("control-cpu"), t.ControlCPU, notes))
	b.add(RoleRouter, BoundMemory, Measured, max(b.routerAtTarget("heap"), t.HeapBytes/1e6), "slopes over 5 sizes or measured at the target, the larger; heap without HTTP connections and the runtime")
	b.add(RoleRouter, BoundControlTraffic, Measured, framed, fmt.Sprintf("slopes over 5 sizes, %.0f B/s of JSON and %d B of framing for each of %.0f messages/s", b.routerAtTarget("control-bytes"), framingBytes, b.routerAtTarget("control-messages")))
	b.add(RoleRouter, BoundNoteDelay, Computed, b.notes(), noteDelayDerivation)
	b.add(RoleRouter, BoundAppends, Measured, b.atTarget("fleet/audit"), "audit batches of all routers")
}

func (b *rowBuilder) agentRows() {
	leaving := float64(TargetRouters) * TargetNotesPerDay / TargetEndpoints / secondsPerDay
	b.add(RoleAgent, BoundProcessor, Measured, b.atTarget("agent/cpu"), "slope over cache events a second; without requests")
	b.add(RoleAgent, BoundMemory, Measured, b.atTarget("agent/heap"), "slope over blocks; heap without requests in flight")
	b.add(RoleAgent, BoundControlTraffic, Computed, leaving*(200+framingBytes), "EndpointLeaving of 200 B from 320 routers, if each of 1,300 notes a day names one endpoint; cache events stay on the host")
	b.add(RoleAgent, BoundNoteDelay, Computed, b.notes(), "an agent hears of a note with the first message of a router that has it")
	b.add(RoleAgent, BoundAppends, Computed, 0, "package agent has no log client")
}

func (b *rowBuilder) bucketRows() {
	replies := b.results.Target.Replies
	scale := float64(TargetRouters) / bucketLeases
	perSecond := replies.Messages * scale
	b.add(RoleBucket, BoundProcessor, Computed, 100*perSecond*b.atTarget(benchSeriesID("holder", metricNanosPerOp))/1e9, fmt.Sprintf("%.0f grant requests/s for one lease, times the benchmark of one; beside the entry router's", perSecond))
	b.add(RoleBucket, BoundMemory, Measured, b.atTarget(benchSeriesID("holder", metricHeapBytes))/1e6, "buckets of one lease; every router has them, in its heap above")
	b.add(RoleBucket, BoundControlTraffic, Computed, replies.framed()*scale, fmt.Sprintf("answers to %.0f grant requests/s, one lease of 24 for 320 routers; beside the entry router's", perSecond))
	b.add(RoleBucket, BoundNoteDelay, Computed, b.notes(), noteDelayDerivation)
	b.add(RoleBucket, BoundAppends, Measured, b.atTarget("fleet/renewals"), "renewals of all holders, of the rollout lease too")
}

func (b *rowBuilder) rolloutRows() {
	b.add(RoleRollout, BoundProcessor, Unknown, 0, "core/rollout is not measured; its lease is among the renewals")
	b.add(RoleRollout, BoundMemory, Unknown, 0, "core/rollout is not measured")
	b.add(RoleRollout, BoundControlTraffic, Unknown, 0, "orders and their answers are not sent yet")
	b.add(RoleRollout, BoundNoteDelay, Unknown, 0, "a note that changes a version is in force as any other; the loads that follow are not measured")
	b.add(RoleRollout, BoundAppends, Computed, 1/renewalInterval.Seconds(), "renewal of one lease, if its holder has no other")
}

func (b *rowBuilder) logRows() {
	t := b.results.Target
	log := t.Config.plus(t.Audit).plus(t.Intents)
	b.add(RoleLog, BoundProcessor, NotApplicable, 0, "the log is an outside system; its client is in the entry router's share")
	b.add(RoleLog, BoundMemory, NotApplicable, 0, "the log is an outside system; its client is in the entry router's heap")
	b.add(RoleLog, BoundControlTraffic, Measured, log.framed(), "measured at the target size; part of the entry router's")
	b.add(RoleLog, BoundNoteDelay, Measured, b.atTarget("fleet/note"), "slope over routers, no faults")
	b.add(RoleLog, BoundAppends, Computed, b.appends(), "sum of the table of appends")
}

func (b *rowBuilder) operatorRows() {
	change := b.atTarget(benchSeriesID("note", metricChangeBytes))
	b.add(RoleOperators, BoundProcessor, Computed, 100*TargetNotesPerDay*b.atTarget(benchSeriesID("note", metricNanosPerOp))/1e9/secondsPerDay, "parsing a whole note 1,300 times a day at one router")
	b.add(RoleOperators, BoundMemory, Unknown, 0, "memory of audit export and of note tools is not measured")
	b.add(RoleOperators, BoundControlTraffic, Computed, TargetNotesPerDay*(change+framingBytes)/secondsPerDay, "1,300 notes of one change a day, all to one router; a whole note is in the slopes below")
	b.add(RoleOperators, BoundNoteDelay, Computed, b.notes(), noteDelayDerivation)
	b.add(RoleOperators, BoundAppends, Computed, float64(TargetNotesPerDay)/secondsPerDay, "one append a note")
}

// AppendRate is the rate of log appends from one cause at the target size.
type AppendRate struct {
	Stream     string
	Cause      string
	PerSecond  float64
	Basis      Basis
	Derivation string
}

// checkpointsPerSecond is one checkpoint of a single part in 720 s: 0.8 of a
// quarter of the log's retention of an hour, the shortest delay of a Checkpointer
// after its first. Checkpoints that become due earlier, after a quarter of the
// retained records, are not included.
const checkpointsPerSecond = 1.0 / 720

// appendRates returns the append rates of the whole fleet by stream and cause.
func (b *rowBuilder) appendRates() []AppendRate {
	return []AppendRate{
		{"config", "registrations and claims", b.atTarget("fleet/restart") * replacedRoutersPerDay / secondsPerDay, Computed, "records for one replaced router, 61 times a day"},
		{"config", "lease renewals", b.atTarget("fleet/renewals"), Measured, "slope over routers, at most 25 holders"},
		{"config", "checkpoints", checkpointsPerSecond, Computed, "0.8 of a quarter of an hour's retention; one part of 192 KiB"},
		{"config", "notes", float64(TargetNotesPerDay) / secondsPerDay, Computed, "one append a note"},
		{"config", "suspects and quarantines", 0, Unknown, "only after crashes; no rate is given"},
		{"intent-N", "intents and outcomes", b.atTarget("fleet/call") * callsPerSecond, Computed, "appends a call, times 44 calls/s (1% of requests, an assumption); batches reduce it"},
		{"audit", "audit batches", b.atTarget("fleet/audit"), Measured, "slope over routers"},
	}
}

// appends returns the sum of the known append rates.
func (b *rowBuilder) appends() float64 {
	sum := 0.0
	for _, a := range b.appendRates() {
		sum += a.PerSecond
	}
	return sum
}
