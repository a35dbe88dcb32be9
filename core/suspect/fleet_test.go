package suspect_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/ledger"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/suspect"
)

const step = 10 * time.Millisecond

// fleet simulates a few routers and endpoints that share a fake config stream.
type fleet struct {
	rng           *rand.Rand
	now           proto.Instant
	records       []proto.Record
	logDown       bool
	lossPercent   int              // percent of lost messages
	cutOff        map[*router]bool // routers that the log does not reach
	routers       []*router
	endpoints     []*endpoint
	inTransit     []message
	awaitingTrial []*job
	lastID        int
	faults        suspect.Faults
	// lost counts the crashes that each fingerprint caused.
	lost map[proto.Fingerprint]int
	// unanswered holds the requests without a response. responses counts responses
	// by cause of refusal; the cause of a successful one is empty.
	unanswered map[*job]bool
	responses  map[proto.Cause]int
	// everQuarantined holds the fingerprints that were quarantined at any router at
	// any time.
	everQuarantined map[proto.Fingerprint]bool
}

type router struct {
	id     proto.RouterID
	client *ledger.Client
	table  *suspect.Table
	reg    *suspect.Register
}

type endpoint struct {
	id       proto.EndpointID
	restarts int
	alone    *job
	queue    []*job
}

func (e *endpoint) incarnation() proto.Incarnation { return proto.Incarnation(fmt.Sprint(e.restarts)) }

type job struct {
	id      proto.RequestID
	print   proto.Fingerprint
	router  *router
	on      *endpoint
	trial   proto.Offset
	ends    proto.Instant
	running bool
	wanted  proto.TrialWanted
}

type message struct {
	at    proto.Instant
	r     *router
	m     proto.Message
	toLog bool
}

func newFleet(seed uint64, routers, endpoints int, f suspect.Faults) *fleet {
	w := &fleet{rng: rand.New(rand.NewPCG(seed, 3)), faults: f, lost: map[proto.Fingerprint]int{},
		unanswered: map[*job]bool{}, responses: map[proto.Cause]int{}, everQuarantined: map[proto.Fingerprint]bool{}}
	for i := range endpoints {
		w.endpoints = append(w.endpoints, &endpoint{id: proto.EndpointID(fmt.Sprintf("e%d", i))})
	}
	for range routers {
		w.routers = append(w.routers, w.start())
	}
	w.run(300 * time.Millisecond)
	return w
}

func (w *fleet) start() *router {
	w.lastID++
	r := &router{id: proto.RouterID(fmt.Sprintf("r%d", w.lastID)), reg: suspect.NewRegister()}
	r.client = ledger.New(ledger.Config{Self: proto.RouterAddr(r.id), Incarnation: proto.Incarnation(r.id), Seed: uint64(w.lastID)})
	r.client.Follow(proto.StreamConfig, 0)
	r.table = suspect.New(suspect.Config{
		Self: proto.RouterAddr(r.id), Router: r.id, Seed: uint64(w.lastID),
		QuarantineDuration: func() time.Duration { return time.Hour },
		EngineIncarnation:  w.engineIncarnation,
		ReadByAll: func(at proto.Offset) bool {
			return !slices.ContainsFunc(w.routers, func(o *router) bool { return o.client.NextOffset(proto.StreamConfig) <= at })
		},
	}, r.client, r.reg)
	r.table.InjectFaults(w.faults)
	return r
}

// isWaiting reports whether a caller waits for the response of a live router.
func (w *fleet) isWaiting(print proto.Fingerprint) bool {
	for j := range w.unanswered {
		if j.print == print && slices.Contains(w.routers, j.router) {
			return true
		}
	}
	return false
}

// isKnownEverywhere reports whether every router has an entry for a fingerprint.
func (w *fleet) isKnownEverywhere(print proto.Fingerprint) bool {
	return !slices.ContainsFunc(w.routers, func(r *router) bool {
		_, ok := r.reg.Get(suspect.Key{Account: "a", Fingerprint: print})
		return !ok
	})
}

func (w *fleet) engineIncarnation(id proto.EndpointID) (proto.Incarnation, proto.Instant, bool) {
	for _, e := range w.endpoints {
		if e.id == id {
			return e.incarnation(), w.now, true
		}
	}
	return "", 0, false
}

func (w *fleet) run(d time.Duration) {
	for end := w.now.Add(d); w.now < end; w.now = w.now.Add(step) {
		w.deliver()
		for _, r := range w.routers {
			r.client.Tick(w.now)
			r.table.Tick(w.now)
			w.process(r)
			w.sendHeartbeats(r)
		}
		w.runEndpoints()
	}
}

// sendHeartbeats sends a router's crashes to its peers every 500 ms.
func (w *fleet) sendHeartbeats(r *router) {
	if w.now%proto.Instant(500*time.Millisecond) != 0 {
		return
	}
	for _, o := range w.routers {
		if o != r && w.rng.IntN(100) >= w.lossPercent {
			o.table.HandlePeerCrashes(w.now, r.table.Crashes())
		}
	}
}

func (w *fleet) process(r *router) {
	for _, ev := range r.client.Events() {
		r.table.Event(w.now, ev)
		if ev.Kind == ledger.EventRecord {
			if key, ok := r.reg.Apply(w.now, ev.Record); ok {
				r.table.RecordApplied(w.now, key, ev.Record)
			}
		}
	}
	for _, e := range r.reg.Export() {
		if e.Quarantined {
			w.everQuarantined[e.Fingerprint] = true
		}
	}
	for _, e := range r.client.Take() {
		if w.rng.IntN(100) >= w.lossPercent {
			w.inTransit = append(w.inTransit, message{at: w.deliveryTime(), r: r, m: e.Msg, toLog: true})
		}
	}
	for _, e := range r.table.Take() {
		w.onTrialDecided(r, e.Msg.(proto.TrialDecided))
	}
}

func (w *fleet) deliveryTime() proto.Instant {
	d := 1 + w.rng.IntN(20)
	if w.lossPercent > 0 && w.rng.IntN(20) == 0 {
		d = w.rng.IntN(1500)
	}
	return w.now.Add(time.Duration(d) * time.Millisecond)
}

func (w *fleet) deliver() {
	due := w.inTransit
	w.inTransit = nil
	for _, x := range due {
		switch {
		case x.at > w.now:
			w.inTransit = append(w.inTransit, x)
		case x.toLog:
			w.processAtLog(x)
		case slices.Contains(w.routers, x.r) && !w.cutOff[x.r]:
			x.r.client.Step(w.now, proto.Envelope{From: proto.Log, Msg: x.m})
			w.process(x.r)
		}
	}
}

func (w *fleet) processAtLog(x message) {
	if w.logDown {
		return
	}
	head := proto.Offset(len(w.records))
	var reply proto.Message
	switch m := x.m.(type) {
	case proto.LogAppend:
		for i, r := range m.Records {
			r.Offset = head + proto.Offset(i)
			w.records = append(w.records, r)
		}
		reply = proto.LogAppended{Call: m.Call, Stream: m.Stream, First: head}
	case proto.LogRead:
		reply = proto.LogRecords{Call: m.Call, Stream: m.Stream, Head: head, Records: w.records[min(m.From, head):]}
	}
	if w.rng.IntN(100) >= w.lossPercent {
		w.inTransit = append(w.inTransit, message{at: w.deliveryTime(), r: x.r, m: reply})
	}
}

func (w *fleet) send(r *router, print proto.Fingerprint) {
	w.lastID++
	j := &job{id: proto.RequestID(fmt.Sprint("q", w.lastID)), print: print, router: r}
	w.unanswered[j] = true
	if at, ok := r.client.HeadReadAt(proto.StreamConfig); !ok || !w.logDown && w.now.Sub(at) >= 4*time.Second {
		w.respond(j, proto.CauseStale)
		return
	}
	w.attempt(j, false)
}

// attempt chooses an endpoint for a request, as an exchange does.
func (w *fleet) attempt(j *job, crashed bool) {
	key := suspect.Key{Account: "a", Fingerprint: j.print}
	j.on = w.endpoints[w.rng.IntN(len(w.endpoints))]
	j.trial = 0
	quarantined, suspects := j.router.table.Snapshot(w.now)
	switch {
	case quarantined[key]:
		w.respond(j, proto.CauseQuarantined)
	case crashed || suspects[key]:
		w.requestTrial(j, false)
	default:
		w.enqueue(j)
	}
}

func (w *fleet) requestTrial(j *job, awaitPropagation bool) {
	w.awaitingTrial = append(w.awaitingTrial, j)
	j.wanted = proto.TrialWanted{Request: j.id, Account: "a", Fingerprint: j.print, Endpoint: j.on.id, Incarnation: j.on.incarnation(), AwaitPropagation: awaitPropagation}
	j.router.table.HandleWanted(w.now, j.wanted)
	w.process(j.router)
}

func (w *fleet) onTrialDecided(r *router, d proto.TrialDecided) {
	i := slices.IndexFunc(w.awaitingTrial, func(j *job) bool { return j.id == d.Request && j.router == r })
	if i < 0 {
		return
	}
	j := w.awaitingTrial[i]
	w.awaitingTrial = slices.Delete(w.awaitingTrial, i, i+1)
	switch {
	case j.wanted.AwaitPropagation:
		w.respond(j, proto.CauseEndpointFailed)
	case !d.OK:
		w.respond(j, d.Cause)
	default:
		j.trial = d.Trial
		w.enqueue(j)
	}
}

func (w *fleet) enqueue(j *job) {
	j.running = false
	j.on.queue = append(j.on.queue, j)
}

// runEndpoints acts as the agents: a trial starts when its endpoint is idle, and no
// other request starts while it runs.
func (w *fleet) runEndpoints() {
	for _, e := range w.endpoints {
		for _, j := range slices.Clone(e.queue) {
			busy := slices.ContainsFunc(e.queue, func(o *job) bool { return o.running })
			if !j.running && e.alone == nil && (j.trial == 0 || !busy) {
				j.running, j.ends = true, w.now.Add(time.Duration(20+w.rng.IntN(200))*time.Millisecond)
				if j.trial != 0 {
					e.alone = j
				}
			}
			if j.running && w.now >= j.ends {
				w.finish(e, j)
			}
		}
	}
}

func (w *fleet) finish(e *endpoint, j *job) {
	if j.print[0] == 'x' {
		w.crash(e, j.print)
		return
	}
	w.dequeue(e, j)
	if j.trial != 0 {
		j.router.table.TrialEnded(w.now, proto.TrialEnded{Account: "a", Fingerprint: j.print, Trial: j.trial, Result: proto.TrialCleared})
	}
	w.respond(j, "")
}

func (w *fleet) dequeue(e *endpoint, j *job) {
	e.queue = slices.DeleteFunc(e.queue, func(o *job) bool { return o == j })
	if e.alone == j {
		e.alone = nil
	}
}

func (w *fleet) crash(e *endpoint, print proto.Fingerprint) {
	w.lost[print]++
	dead := e.incarnation()
	e.restarts++
	for _, j := range slices.Clone(e.queue) {
		if !j.running {
			continue
		}
		w.dequeue(e, j)
		if !slices.Contains(w.routers, j.router) {
			continue
		}
		if j.trial != 0 {
			j.router.table.TrialEnded(w.now, proto.TrialEnded{Account: "a", Fingerprint: j.print, Trial: j.trial,
				Result: proto.TrialCrashed, Endpoint: e.id, Incarnation: dead})
		} else {
			j.router.table.CrashSeen(w.now, proto.CrashSeen{Account: "a", Fingerprint: j.print, Endpoint: e.id, Incarnation: dead})
		}
		if w.rng.IntN(2) == 0 {
			w.attempt(j, true)
		} else {
			w.requestTrial(j, true)
		}
	}
}

func (w *fleet) respond(j *job, cause proto.Cause) {
	delete(w.unanswered, j)
	w.responses[cause]++
}
