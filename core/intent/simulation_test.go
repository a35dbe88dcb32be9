package intent_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/intent"
	"github.com/kumquatsill/kumquatsill/core/ledger"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// simulation runs the tables and log clients of a few routers over one in-memory
// log. Messages to and from the log are lost, delayed and repeated at random.
type simulation struct {
	rng     *rand.Rand
	now     proto.Instant
	records []proto.Record
	logDown bool
	// reliable disables message faults.
	reliable bool
	nodes    []*node
	inFlight []message
	// started is the number of routers started so far.
	started int
	faults  intent.Faults
	checks  check.Monitor

	// keyOf holds the key of each request.
	keyOf map[proto.RequestID]string
	// runs counts how often the call of each key ran.
	runs map[string]int
	// ran holds the requests whose call ran.
	ran      map[proto.RequestID]bool
	decided  map[proto.RequestID]proto.IntentDecided
	requests int
	// late holds the keys of calls that ran after they had been refused.
	late []string
}

// node is one router.
type node struct {
	id     proto.RouterID
	client *ledger.Client
	table  *intent.Table
}

// message is in flight between a router and the log, and arrives at the time at.
type message struct {
	at   proto.Instant
	node *node
	msg  proto.Message
	// toLog is set for messages to the log.
	toLog bool
}

func newSimulation(seed uint64, routers int, faults intent.Faults) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), faults: faults,
		keyOf: map[proto.RequestID]string{}, runs: map[string]int{},
		ran: map[proto.RequestID]bool{}, decided: map[proto.RequestID]proto.IntentDecided{},
	}
	for range routers {
		sim.nodes = append(sim.nodes, sim.start())
	}
	return sim
}

func (sim *simulation) start() *node {
	sim.started++
	id := proto.RouterID(fmt.Sprintf("r%d", sim.started))
	c := ledger.New(ledger.Config{Self: proto.RouterAddr(id), Incarnation: proto.Incarnation(id), Seed: uint64(sim.started)})
	t := intent.New(intent.Config{Self: proto.RouterAddr(id), Router: id, Shards: 2, Checks: &sim.checks}, c)
	t.SetRouters([]proto.RouterID{id})
	t.SetFaults(sim.faults)
	return &node{id: id, client: c, table: t}
}

func (sim *simulation) chance(percent int) bool { return !sim.reliable && sim.rng.IntN(100) < percent }

func (sim *simulation) delay() proto.Instant {
	if sim.reliable {
		return sim.now.Add(time.Millisecond)
	}
	if sim.chance(5) {
		return sim.now.Add(time.Duration(sim.rng.IntN(6000)) * time.Millisecond)
	}
	return sim.now.Add(time.Duration(1+sim.rng.IntN(30)) * time.Millisecond)
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now < end; sim.now = sim.now.Add(5 * time.Millisecond) {
		sim.deliver()
		for _, n := range sim.nodes {
			n.client.Tick(sim.now)
			sim.pump(n)
			n.table.Tick(sim.now)
			sim.pump(n)
		}
	}
}

// pump passes a node's outputs on: log events to the table, messages to the log
// and decisions to onDecided.
func (sim *simulation) pump(n *node) {
	for _, ev := range n.client.Events() {
		n.table.Event(sim.now, ev)
	}
	for _, e := range n.client.Take() {
		if !sim.chance(8) {
			sim.inFlight = append(sim.inFlight, message{at: sim.delay(), node: n, msg: e.Msg, toLog: true})
		}
		if sim.chance(4) {
			sim.inFlight = append(sim.inFlight, message{at: sim.delay(), node: n, msg: e.Msg, toLog: true})
		}
	}
	for _, e := range n.table.Take() {
		if d, ok := e.Msg.(proto.IntentDecided); ok {
			sim.onDecided(n, d)
		}
	}
}

func (sim *simulation) deliver() {
	due := sim.inFlight
	sim.inFlight = nil
	for _, m := range due {
		switch {
		case m.at > sim.now:
			sim.inFlight = append(sim.inFlight, m)
		case m.toLog:
			sim.deliverToLog(m)
		case slices.Contains(sim.nodes, m.node):
			m.node.client.Step(sim.now, proto.Envelope{From: proto.Log, Msg: m.msg})
			sim.pump(m.node)
		}
	}
}

func (sim *simulation) deliverToLog(m message) {
	if sim.logDown {
		return
	}
	var reply proto.Message
	switch req := m.msg.(type) {
	case proto.LogAppend:
		first := proto.Offset(len(sim.stream(req.Stream)))
		for _, r := range req.Records {
			r.Offset = proto.Offset(len(sim.stream(req.Stream)))
			r.Kind = proto.RecordKind(req.Stream + "/" + string(r.Kind))
			sim.records = append(sim.records, r)
		}
		reply = proto.LogAppended{Call: req.Call, Stream: req.Stream, First: first}
	case proto.LogRead:
		all := sim.stream(req.Stream)
		from := min(req.From, proto.Offset(len(all)))
		reply = proto.LogRecords{Call: req.Call, Stream: req.Stream, Head: proto.Offset(len(all)), Records: all[from:]}
	}
	if !sim.chance(8) {
		sim.inFlight = append(sim.inFlight, message{at: sim.delay(), node: m.node, msg: reply})
	}
}

func (sim *simulation) stream(name string) []proto.Record {
	var out []proto.Record
	for _, r := range sim.records {
		if kind, ok := strings.CutPrefix(string(r.Kind), name+"/"); ok {
			r.Kind = proto.RecordKind(kind)
			out = append(out, r)
		}
	}
	return out
}

func (sim *simulation) request(n *node, key string) proto.RequestID {
	sim.requests++
	id := proto.RequestID(fmt.Sprintf("q%d", sim.requests))
	sim.keyOf[id] = key
	n.table.HandleWanted(sim.now, proto.IntentWanted{Request: id, Account: "a", Key: key, Fingerprint: "f-" + proto.Fingerprint(key)})
	sim.pump(n)
	return id
}

// onDecided simulates the exchange and the endpoint.
func (sim *simulation) onDecided(n *node, d proto.IntentDecided) {
	if key, late := strings.CutPrefix(string(d.Request), "late-"); late {
		sim.runs[key]++
		sim.late = append(sim.late, key)
		return
	}
	sim.decided[d.Request] = d
	if d.Intent == nil {
		return
	}
	known := proto.OutcomeKnown{Request: d.Request, Account: "a", Intent: *d.Intent}
	switch {
	case sim.chance(15): // the request ended before the decision reached it
		n.table.HandleDropped(sim.now, proto.IntentDropped{Request: d.Request})
	case sim.chance(15): // the endpoint refused it
		known.Verdict = proto.NotRun
		n.table.HandleOutcome(sim.now, known)
	case sim.chance(20): // it ran, but the response was lost
		sim.runs[d.Intent.Key]++
		sim.ran[d.Request] = true
		known.Verdict = proto.MayHaveRun
		n.table.HandleOutcome(sim.now, known)
	default:
		sim.runs[d.Intent.Key]++
		sim.ran[d.Request] = true
		known.Verdict = proto.Ran
		known.Finish = &proto.CallerFinish{Status: 201, Body: []byte(d.Request)}
		n.table.HandleOutcome(sim.now, known)
	}
}

// violations counts the violations of the table's guarantees.
func (sim *simulation) violations() (doubleRuns, falseNotRun, wrongReplays int) {
	for _, n := range sim.runs {
		if n > 1 {
			doubleRuns++
		}
	}
	falseNotRun = len(sim.late) + int(sim.checks.Counts(check.TrueNotRun).Failed)
	for id, d := range sim.decided {
		if d.Intent == nil && d.Verdict == proto.NotRun && sim.ran[id] {
			falseNotRun++
		}
		if d.Outcome != nil && sim.keyOf[proto.RequestID(d.Outcome.Body)] != sim.keyOf[id] {
			wrongReplays++
		}
	}
	return doubleRuns, falseNotRun, wrongReplays
}

// runWithFaults sends requests with repeated keys through several routers while
// messages are lost, the log is down and routers restart.
func (sim *simulation) runWithFaults(steps int) {
	sim.reliable = true
	sim.run(200 * time.Millisecond)
	sim.reliable = false
	for range steps {
		switch {
		case sim.chance(4):
			sim.logDown = !sim.logDown
		case sim.chance(3):
			i := sim.rng.IntN(len(sim.nodes))
			sim.nodes[i] = sim.start()
		default:
			key := fmt.Sprintf("k%d", sim.rng.IntN(6))
			for range 1 + sim.rng.IntN(3) {
				sim.request(sim.nodes[sim.rng.IntN(len(sim.nodes))], key)
			}
		}
		sim.run(time.Duration(sim.rng.IntN(800)) * time.Millisecond)
	}
	sim.logDown, sim.reliable = false, true
	sim.run(8 * time.Second)
}
