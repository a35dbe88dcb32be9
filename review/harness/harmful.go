package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["harmful"] = harmfulCase
	cases["dark"] = darkCase
}

const (
	harmfulPart = "0badcafe"
	// harmfulAllowed is the number of retries that may reach engines later than
	// contactTime after the third crash.
	harmfulAllowed = 3
	// soundClients is the number of clients that send sound requests.
	soundClients = 24
	// downTime is how long the killed routers are down.
	downTime = time.Second
)

// harmfulCase: a request that crashes each engine which runs it comes again and again. All
// routers are killed at the same moment after it has crashed the third engine.
func harmfulCase(binary string) bool {
	f := NewFleet(binary)
	defer f.Close()
	h := newHarm(f, true, false)
	// The request comes every second until it has crashed three engines, and again once the
	// routers have been in touch for some time.
	for h.count() < 3 && h.sent < 10 {
		h.send()
		time.Sleep(time.Second)
	}
	if trouble {
		for _, r := range f.Routers {
			f.Kill(r)
		}
		time.Sleep(downTime)
		for _, r := range f.Routers {
			f.Start(r)
		}
		f.WaitReady()
	} else {
		time.Sleep(downTime)
	}
	time.Sleep(contactTime + time.Second)
	for range 15 {
		h.send()
		time.Sleep(time.Second)
	}
	return h.end()
}

// darkCase: a request that crashes each engine that begins to run it comes again and again.
// The engines fall silent as they crash. Nothing else is disturbed.
func darkCase(binary string) bool {
	f := NewFleet(binary)
	defer f.Close()
	h := newHarm(f, trouble, true)
	for range 15 {
		h.send()
		time.Sleep(time.Second)
	}
	return h.end()
}

// harm sends the harmful request among sound ones, and counts the engines that crash.
type harm struct {
	fleet  *Fleet
	tenant Tenant
	sent   int
	stop   chan struct{}
	others sync.WaitGroup

	mu sync.Mutex
	// crashes holds when each run of the request began that has crashed an engine.
	crashes []time.Time
	cutOff  int
}

// newHarm starts engines that the request crashes, unless crashing is false, routers and
// the clients of sound requests.
func newHarm(f *Fleet, crashing, dark bool) *harm {
	h := &harm{fleet: f, tenant: Tenant{Name: "sese880", Key: "wu3fexd9dnn2ctnfzs98", Rate: 100_000}, stop: make(chan struct{})}
	f.Store.Put("keyed.op", "config", config(7, h.tenant))
	part := ""
	if crashing {
		part = harmfulPart
	}
	for i := range 12 {
		f.AddEngine(&Engine{Service: llm, Model: model, Zone: zones[i%len(zones)], Events: 40, Interval: 25 * time.Millisecond,
			HarmfulPart: part, Dark: dark, Downtime: 2 * time.Second, OnRun: h.observe})
	}
	f.StartRouters(3, memoryMB)
	for i := range soundClients {
		h.others.Add(1)
		go h.sendSound(i)
	}
	return h
}

func (h *harm) observe(r Run) {
	h.fleet.Record("engine %s begins to run %s", r.Engine, r.ID)
	if r.Parts != harmfulParts {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashes = append(h.crashes, r.BegunAt)
}

func (h *harm) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.crashes)
}

// send sends the harmful request to the routers in turn.
func (h *harm) send() {
	h.sent++
	a := &Attempt{ID: fmt.Sprintf("%02dc41d07be2a35f68", h.sent), Route: "draft", Key: h.tenant.Key, Parts: harmfulParts, Body: []byte("a harmful prompt"), LimitMS: 15_000}
	h.fleet.Record("the harmful request comes as %s", a.ID)
	h.fleet.Do(a, newClient(), h.fleet.Routers[h.sent%len(h.fleet.Routers)])
}

// end reports whether too many retries have reached engines.
func (h *harm) end() bool {
	close(h.stop)
	h.others.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fleet.Record("%d sound requests were cut off", h.cutOff)
	if h.fleet.Engines[0].HarmfulPart == "" {
		h.fleet.Record("the request has crashed no engine")
		return false
	}
	if len(h.crashes) < 3 {
		panic("fewer than three crashes")
	}
	late := 0
	for _, at := range h.crashes[3:] {
		if at.Sub(h.crashes[2]) > contactTime {
			late++
		}
	}
	h.fleet.Record("%d retries have reached engines later than %v after the third crash; %d are allowed", late, contactTime, harmfulAllowed)
	return late > harmfulAllowed
}

const harmfulParts = harmfulPart + ":300,91bd3f06:100"

// sendSound sends requests that do no harm, and records those that a crash cuts off.
func (h *harm) sendSound(client int) {
	defer h.others.Done()
	c := newClient()
	for n := 0; ; n++ {
		select {
		case <-h.stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		a := &Attempt{ID: fmt.Sprintf("s%d-%d", client, n), Route: "draft", Key: h.tenant.Key, Parts: fmt.Sprintf("5c1e07a2:200,%d%05d:100", client, n), Body: []byte("a prompt"), LimitMS: 15_000}
		h.fleet.Do(a, c, h.fleet.Routers[(client+n)%len(h.fleet.Routers)])
		if a.Status == 200 && !a.Whole {
			h.fleet.Record("a sound request was cut off: %s", a)
			h.mu.Lock()
			h.cutOff++
			h.mu.Unlock()
		}
	}
}
