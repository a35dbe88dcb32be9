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

// world is a few routers' tables and log clients over one fake log whose
// messages are lost, delayed and repeated at random.
type world struct {
	rng     *rand.Rand
	now     proto.Instant
	records []proto.Record
	down    bool
	quiet   bool
	nodes   []*node
	wires   []wire
	lives   int
	faults  intent.Faults
	checks  check.Monitor

	asked    map[proto.RequestID]string
	runs     map[string]int
	ranAt    map[proto.RequestID]bool
	decided  map[proto.RequestID]proto.IntentDecided
	requests int
	// late lists keys of refused calls that were run afterwards.
	late []string
}

type node struct {
	id     proto.RouterID
	client *ledger.Client
	table  *intent.Table
}

type wire struct {
	at   proto.Instant
	node *node
	msg  proto.Message
	// up is set for messages to the log.
	up bool
}

func newWorld(seed uint64, routers int, faults intent.Faults) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), faults: faults,
		asked: map[proto.RequestID]string{}, runs: map[string]int{},
		ranAt: map[proto.RequestID]bool{}, decided: map[proto.RequestID]proto.IntentDecided{},
	}
	for range routers {
		w.nodes = append(w.nodes, w.start())
	}
	return w
}

func (w *world) start() *node {
	w.lives++
	id := proto.RouterID(fmt.Sprintf("r%d", w.lives))
	c := ledger.New(ledger.Config{Self: proto.RouterAddr(id), Incarnation: proto.Incarnation(id), Seed: uint64(w.lives)})
	t := intent.New(intent.Config{Self: proto.RouterAddr(id), Router: id, Shards: 2, Checks: &w.checks}, c)
	t.SetRouters([]proto.RouterID{id})
	t.SetFaults(w.faults)
	return &node{id: id, client: c, table: t}
}

func (w *world) chance(percent int) bool { return !w.quiet && w.rng.IntN(100) < percent }

func (w *world) delay() proto.Instant {
	if w.quiet {
		return w.now.Add(time.Millisecond)
	}
	if w.chance(5) {
		return w.now.Add(time.Duration(w.rng.IntN(6000)) * time.Millisecond)
	}
	return w.now.Add(time.Duration(1+w.rng.IntN(30)) * time.Millisecond)
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now < end; w.now = w.now.Add(5 * time.Millisecond) {
		w.deliver()
		for _, n := range w.nodes {
			n.client.Tick(w.now)
			w.pump(n)
			n.table.Tick(w.now)
			w.pump(n)
		}
	}
}

// pump moves a node's outputs.
func (w *world) pump(n *node) {
	for _, ev := range n.client.Events() {
		n.table.Event(w.now, ev)
	}
	for _, e := range n.client.Take() {
		if !w.chance(8) {
			w.wires = append(w.wires, wire{at: w.delay(), node: n, msg: e.Msg, up: true})
		}
		if w.chance(4) {
			w.wires = append(w.wires, wire{at: w.delay(), node: n, msg: e.Msg, up: true})
		}
	}
	for _, e := range n.table.Take() {
		if d, ok := e.Msg.(proto.IntentDecided); ok {
			w.onDecided(n, d)
		}
	}
}

func (w *world) deliver() {
	due := w.wires
	w.wires = nil
	for _, x := range due {
		switch {
		case x.at > w.now:
			w.wires = append(w.wires, x)
		case x.up:
			w.logStep(x)
		case slices.Contains(w.nodes, x.node):
			x.node.client.Step(w.now, proto.Envelope{From: proto.Log, Msg: x.msg})
			w.pump(x.node)
		}
	}
}

func (w *world) logStep(x wire) {
	if w.down {
		return
	}
	var answer proto.Message
	switch m := x.msg.(type) {
	case proto.LogAppend:
		first := proto.Offset(len(w.stream(m.Stream)))
		for _, r := range m.Records {
			r.Offset = proto.Offset(len(w.stream(m.Stream)))
			r.Kind = proto.RecordKind(m.Stream + "/" + string(r.Kind))
			w.records = append(w.records, r)
		}
		answer = proto.LogAppended{Call: m.Call, Stream: m.Stream, First: first}
	case proto.LogRead:
		all := w.stream(m.Stream)
		from := min(m.From, proto.Offset(len(all)))
		answer = proto.LogRecords{Call: m.Call, Stream: m.Stream, Head: proto.Offset(len(all)), Records: all[from:]}
	}
	if !w.chance(8) {
		w.wires = append(w.wires, wire{at: w.delay(), node: x.node, msg: answer})
	}
}

func (w *world) stream(name string) []proto.Record {
	var out []proto.Record
	for _, r := range w.records {
		if kind, ok := strings.CutPrefix(string(r.Kind), name+"/"); ok {
			r.Kind = proto.RecordKind(kind)
			out = append(out, r)
		}
	}
	return out
}

func (w *world) ask(n *node, key string) proto.RequestID {
	w.requests++
	id := proto.RequestID(fmt.Sprintf("q%d", w.requests))
	w.asked[id] = key
	n.table.HandleWanted(w.now, proto.IntentWanted{Request: id, Account: "a", Key: key, Fingerprint: "f-" + proto.Fingerprint(key)})
	w.pump(n)
	return id
}

// onDecided acts as the exchange and the endpoint.
func (w *world) onDecided(n *node, d proto.IntentDecided) {
	if key, late := strings.CutPrefix(string(d.Request), "late-"); late {
		w.runs[key]++
		w.late = append(w.late, key)
		return
	}
	w.decided[d.Request] = d
	if d.Intent == nil {
		return
	}
	known := proto.OutcomeKnown{Request: d.Request, Account: "a", Intent: *d.Intent}
	switch {
	case w.chance(15): // the request ended before the decision reached it
		n.table.HandleDropped(w.now, proto.IntentDropped{Request: d.Request})
	case w.chance(15): // the endpoint refused it
		known.Verdict = proto.NotRun
		n.table.HandleOutcome(w.now, known)
	case w.chance(20): // it ran, but no answer came
		w.runs[d.Intent.Key]++
		w.ranAt[d.Request] = true
		known.Verdict = proto.MayHaveRun
		n.table.HandleOutcome(w.now, known)
	default:
		w.runs[d.Intent.Key]++
		w.ranAt[d.Request] = true
		known.Verdict = proto.Ran
		known.Finish = &proto.CallerFinish{Status: 201, Body: []byte(d.Request)}
		n.table.HandleOutcome(w.now, known)
	}
}

// faultsSeen returns what the promises of the table forbid.
func (w *world) faultsSeen() (doubleRuns, falseNotRun, wrongReplays int) {
	for _, n := range w.runs {
		if n > 1 {
			doubleRuns++
		}
	}
	falseNotRun = len(w.late) + int(w.checks.Counts(check.TrueNotRun).Failed)
	for id, d := range w.decided {
		if d.Intent == nil && d.Verdict == proto.NotRun && w.ranAt[id] {
			falseNotRun++
		}
		if d.Outcome != nil && w.asked[proto.RequestID(d.Outcome.Body)] != w.asked[id] {
			wrongReplays++
		}
	}
	return doubleRuns, falseNotRun, wrongReplays
}

// storm sends repeated keys through several routers while faults happen.
func (w *world) storm(steps int) {
	w.quiet = true
	w.run(200 * time.Millisecond)
	w.quiet = false
	for range steps {
		switch {
		case w.chance(4):
			w.down = !w.down
		case w.chance(3):
			i := w.rng.IntN(len(w.nodes))
			w.nodes[i] = w.start()
		default:
			key := fmt.Sprintf("k%d", w.rng.IntN(6))
			for range 1 + w.rng.IntN(3) {
				w.ask(w.nodes[w.rng.IntN(len(w.nodes))], key)
			}
		}
		w.run(time.Duration(w.rng.IntN(800)) * time.Millisecond)
	}
	w.down, w.quiet = false, true
	w.run(8 * time.Second)
}
