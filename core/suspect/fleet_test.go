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

// fleet is a few routers and endpoints over one fake config stream.
type fleet struct {
	rng       *rand.Rand
	now       proto.Instant
	records   []proto.Record
	down      bool
	losses    int              // percent of lost messages
	deaf      map[*router]bool // routers that the log does not reach
	routers   []*router
	endpoints []*endpoint
	wires     []wire
	jobs      []*job
	lives     int
	faults    suspect.Faults
	// lost counts endpoints lost to a fingerprint that crashes them.
	lost map[proto.Fingerprint]int
	// open holds the requests without an answer, refused counts answers by cause.
	open    map[*job]bool
	refused map[proto.Cause]int
	// convicted lists fingerprints that any router held as quarantined.
	convicted map[proto.Fingerprint]bool
}

type router struct {
	id     proto.RouterID
	client *ledger.Client
	table  *suspect.Table
	reg    *suspect.Register
}

type endpoint struct {
	id    proto.EndpointID
	life  int
	alone *job
	queue []*job
}

func (e *endpoint) incarnation() proto.Incarnation { return proto.Incarnation(fmt.Sprint(e.life)) }

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

type wire struct {
	at proto.Instant
	r  *router
	m  proto.Message
	up bool
}

func newFleet(seed uint64, routers, endpoints int, f suspect.Faults) *fleet {
	w := &fleet{rng: rand.New(rand.NewPCG(seed, 3)), faults: f, lost: map[proto.Fingerprint]int{},
		open: map[*job]bool{}, refused: map[proto.Cause]int{}, convicted: map[proto.Fingerprint]bool{}}
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
	w.lives++
	r := &router{id: proto.RouterID(fmt.Sprintf("r%d", w.lives)), reg: suspect.NewRegister()}
	r.client = ledger.New(ledger.Config{Self: proto.RouterAddr(r.id), Incarnation: proto.Incarnation(r.id), Seed: uint64(w.lives)})
	r.client.Follow(proto.StreamConfig, 0)
	r.table = suspect.New(suspect.Config{
		Self: proto.RouterAddr(r.id), Router: r.id, Seed: uint64(w.lives),
		QuarantineDuration: func() time.Duration { return time.Hour },
		EngineIncarnation:  w.life,
		ReadByAll: func(at proto.Offset) bool {
			return !slices.ContainsFunc(w.routers, func(o *router) bool { return o.client.NextOffset(proto.StreamConfig) <= at })
		},
	}, r.client, r.reg)
	r.table.Break(w.faults)
	return r
}

// waits reports whether a caller waits for a live router's answer.
func (w *fleet) waits(print proto.Fingerprint) bool {
	for j := range w.open {
		if j.print == print && slices.Contains(w.routers, j.router) {
			return true
		}
	}
	return false
}

// known reports whether every router has read a record about a fingerprint.
func (w *fleet) known(print proto.Fingerprint) bool {
	return !slices.ContainsFunc(w.routers, func(r *router) bool {
		_, ok := r.reg.Get(suspect.Key{Account: "a", Fingerprint: print})
		return !ok
	})
}

func (w *fleet) life(id proto.EndpointID) (proto.Incarnation, proto.Instant, bool) {
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
			w.pump(r)
			w.beat(r)
		}
		w.runJobs()
	}
}

// beat sends a router's crashes to its peers every 500 ms.
func (w *fleet) beat(r *router) {
	if w.now%proto.Instant(500*time.Millisecond) != 0 {
		return
	}
	for _, o := range w.routers {
		if o != r && w.rng.IntN(100) >= w.losses {
			o.table.HandlePeerCrashes(w.now, r.table.Crashes())
		}
	}
}

func (w *fleet) pump(r *router) {
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
			w.convicted[e.Fingerprint] = true
		}
	}
	for _, e := range r.client.Take() {
		if w.rng.IntN(100) >= w.losses {
			w.wires = append(w.wires, wire{at: w.delay(), r: r, m: e.Msg, up: true})
		}
	}
	for _, e := range r.table.Take() {
		w.decided(r, e.Msg.(proto.TrialDecided))
	}
}

func (w *fleet) delay() proto.Instant {
	d := 1 + w.rng.IntN(20)
	if w.losses > 0 && w.rng.IntN(20) == 0 {
		d = w.rng.IntN(1500)
	}
	return w.now.Add(time.Duration(d) * time.Millisecond)
}

func (w *fleet) deliver() {
	due := w.wires
	w.wires = nil
	for _, x := range due {
		switch {
		case x.at > w.now:
			w.wires = append(w.wires, x)
		case x.up:
			w.logStep(x)
		case slices.Contains(w.routers, x.r) && !w.deaf[x.r]:
			x.r.client.Step(w.now, proto.Envelope{From: proto.Log, Msg: x.m})
			w.pump(x.r)
		}
	}
}

func (w *fleet) logStep(x wire) {
	if w.down {
		return
	}
	head := proto.Offset(len(w.records))
	var answer proto.Message
	switch m := x.m.(type) {
	case proto.LogAppend:
		for i, r := range m.Records {
			r.Offset = head + proto.Offset(i)
			w.records = append(w.records, r)
		}
		answer = proto.LogAppended{Call: m.Call, Stream: m.Stream, First: head}
	case proto.LogRead:
		answer = proto.LogRecords{Call: m.Call, Stream: m.Stream, Head: head, Records: w.records[min(m.From, head):]}
	}
	if w.rng.IntN(100) >= w.losses {
		w.wires = append(w.wires, wire{at: w.delay(), r: x.r, m: answer})
	}
}

func (w *fleet) send(r *router, print proto.Fingerprint) {
	w.lives++
	j := &job{id: proto.RequestID(fmt.Sprint("q", w.lives)), print: print, router: r}
	w.open[j] = true
	if at, ok := r.client.HeadReadAt(proto.StreamConfig); !ok || !w.down && w.now.Sub(at) >= 4*time.Second {
		w.answer(j, proto.CauseStale)
		return
	}
	w.attempt(j, false)
}

// attempt acts as an exchange that places a request.
func (w *fleet) attempt(j *job, crashed bool) {
	key := suspect.Key{Account: "a", Fingerprint: j.print}
	j.on = w.endpoints[w.rng.IntN(len(w.endpoints))]
	j.trial = 0
	quarantined, suspects := j.router.table.Snapshot(w.now)
	switch {
	case quarantined[key]:
		w.answer(j, proto.CauseQuarantined)
	case crashed || suspects[key]:
		w.ask(j, false)
	default:
		w.enqueue(j)
	}
}

func (w *fleet) ask(j *job, hold bool) {
	w.jobs = append(w.jobs, j)
	j.wanted = proto.TrialWanted{Request: j.id, Account: "a", Fingerprint: j.print, Endpoint: j.on.id, Incarnation: j.on.incarnation(), AwaitPropagation: hold}
	j.router.table.HandleWanted(w.now, j.wanted)
	w.pump(j.router)
}

func (w *fleet) decided(r *router, d proto.TrialDecided) {
	i := slices.IndexFunc(w.jobs, func(j *job) bool { return j.id == d.Request && j.router == r })
	if i < 0 {
		return
	}
	j := w.jobs[i]
	w.jobs = slices.Delete(w.jobs, i, i+1)
	switch {
	case j.wanted.AwaitPropagation:
		w.answer(j, proto.CauseEndpointFailed)
	case !d.OK:
		w.answer(j, d.Cause)
	default:
		j.trial = d.Trial
		w.enqueue(j)
	}
}

func (w *fleet) enqueue(j *job) {
	j.running = false
	j.on.queue = append(j.on.queue, j)
}

// runJobs acts as the agents: a trial waits for an empty endpoint and keeps
// others out.
func (w *fleet) runJobs() {
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
	w.leave(e, j)
	if j.trial != 0 {
		j.router.table.TrialEnded(w.now, proto.TrialEnded{Account: "a", Fingerprint: j.print, Trial: j.trial, Result: proto.TrialCleared})
	}
	w.answer(j, "")
}

func (w *fleet) leave(e *endpoint, j *job) {
	e.queue = slices.DeleteFunc(e.queue, func(o *job) bool { return o == j })
	if e.alone == j {
		e.alone = nil
	}
}

func (w *fleet) crash(e *endpoint, print proto.Fingerprint) {
	w.lost[print]++
	dead := e.incarnation()
	e.life++
	for _, j := range slices.Clone(e.queue) {
		if !j.running {
			continue
		}
		w.leave(e, j)
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
			w.ask(j, true)
		}
	}
}

func (w *fleet) answer(j *job, cause proto.Cause) {
	delete(w.open, j)
	w.refused[cause]++
}
