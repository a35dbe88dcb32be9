package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["frozen"] = frozenCase }

const (
	// freezes is how often a router is frozen, each time for freezeTime. The time between
	// two freezes is minPause and up to pauseSpread more.
	freezes               = 6
	freezeTime            = 4 * time.Second
	minPause, pauseSpread = 200 * time.Millisecond, 600 * time.Millisecond
	// harmfulClients send requests with the harmful part, each with harmfulPause between an
	// answer and the next request, and up to twice that much more.
	harmfulClients = 3
	harmfulPause   = 500 * time.Millisecond
	// soundPartClients is the number of clients that send sound requests.
	soundPartClients = 40
	// partsAllowed is the number of requests with the harmful part that may reach engines
	// later than contactTime after the fifth crash.
	partsAllowed = 3
	// thawedTime is how long the case goes on after the last freeze.
	thawedTime = 12 * time.Second
)

// seed selects the routers that freeze and those that a client sends to.
const seed = 1

// partCase sends requests with a harmful part, no two alike, among sound ones.
type partCase struct {
	fleet  *Fleet
	tenant Tenant
	wait   sync.WaitGroup
	stop   chan struct{}

	mu sync.Mutex
	// thawed is when each router woke last.
	thawed map[*Router]time.Time
	// sentBy holds the router of each harmful request.
	sentBy  map[string]*Router
	crashes []Run
	// refused counts the sound requests that were refused, of those sent.
	sound, refused int
}

// frozenCase: one part of a prompt crashes each engine that begins to answer, and routers
// freeze for some seconds, one after the other.
func frozenCase(binary string) bool {
	f := NewFleet(binary)
	defer f.Close()
	p := &partCase{fleet: f, tenant: Tenant{Name: "sese880", Key: "wu3fexd9dnn2ctnfzs98", Rate: 1_000_000},
		stop: make(chan struct{}), thawed: map[*Router]time.Time{}, sentBy: map[string]*Router{}}
	f.Store.Put("keyed.op", "config", config(7, p.tenant))
	for i := range 12 {
		f.AddEngine(&Engine{Service: llm, Model: model, Zone: zones[i%len(zones)], Events: 30, Interval: 20 * time.Millisecond,
			HarmfulPart: harmfulPart, Downtime: 1500 * time.Millisecond, OnRun: p.observe})
	}
	f.StartRouters(5, memoryMB)
	for i := range soundPartClients {
		p.wait.Add(1)
		go p.sendSound(i)
	}
	for i := range harmfulClients {
		p.wait.Add(1)
		go p.sendHarmful(i)
	}
	rng := rand.New(rand.NewSource(int64(seed)))
	for range freezes {
		time.Sleep(minPause + time.Duration(rng.Int63n(int64(pauseSpread))))
		p.freeze(f.Routers[rng.Intn(len(f.Routers))])
	}
	time.Sleep(thawedTime)
	close(p.stop)
	p.wait.Wait()
	return p.check()
}

func (p *partCase) observe(r Run) {
	p.fleet.Record("engine %s begins to run %s", r.Engine, r.ID)
	if !strings.Contains(r.Parts, harmfulPart+":") {
		return
	}
	p.fleet.Record("engine %s crashes", r.Engine)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, r)
}

// freeze stops a router for freezeTime, unless the case runs without trouble.
func (p *partCase) freeze(r *Router) {
	if !trouble {
		time.Sleep(freezeTime)
		return
	}
	p.fleet.Record("%s is frozen", r.Name)
	check(r.cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(freezeTime)
	check(r.cmd.Process.Signal(syscall.SIGCONT))
	p.fleet.Record("%s wakes", r.Name)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.thawed[r] = time.Now()
}

// sendHarmful sends requests with the harmful part.
func (p *partCase) sendHarmful(client int) {
	defer p.wait.Done()
	rng := rand.New(rand.NewSource(int64(1000 + client + 100_000*seed)))
	for n := 0; ; n++ {
		select {
		case <-p.stop:
			return
		case <-time.After(harmfulPause + time.Duration(rng.Int63n(int64(2*harmfulPause)))):
		}
		r := p.fleet.Routers[rng.Intn(len(p.fleet.Routers))]
		id := fmt.Sprintf("%02x%04x", 200+client, n)
		p.mu.Lock()
		p.sentBy[id] = r
		p.mu.Unlock()
		a := p.attempt(id, fmt.Sprintf("5c1e07a%d:300,%s:300,%s:50", rng.Intn(3), harmfulPart, id))
		p.fleet.Do(a, newClient(), r)
	}
}

func (p *partCase) attempt(id, parts string) *Attempt {
	return &Attempt{ID: id, Route: "draft", Key: p.tenant.Key, Parts: parts, Body: []byte(id), LimitMS: 8000}
}

// sendSound sends requests that share their first part with harmful ones.
func (p *partCase) sendSound(client int) {
	defer p.wait.Done()
	c := newClient()
	rng := rand.New(rand.NewSource(int64(client + 100_000*seed)))
	for n := 0; ; n++ {
		select {
		case <-p.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		r := p.fleet.Routers[rng.Intn(len(p.fleet.Routers))]
		id := fmt.Sprintf("%02x%04x", client, n)
		a := p.attempt(id, fmt.Sprintf("5c1e07a%d:300,%s:50", rng.Intn(3), id))
		p.fleet.Do(a, c, r)
		p.mu.Lock()
		p.sound++
		if a.Status == http.StatusServiceUnavailable {
			p.refused++
		}
		p.mu.Unlock()
	}
}

// check reports whether too many requests with the harmful part have reached engines, sent
// by routers that were in touch.
func (p *partCase) check() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	for i, r := range p.crashes {
		if i < 5 {
			continue
		}
		thawedAt, wasFrozen := p.thawed[p.sentBy[r.ID]]
		inTouch := !wasFrozen || r.BegunAt.Sub(thawedAt) > contactTime
		if inTouch && r.BegunAt.Sub(p.crashes[4].BegunAt) > contactTime {
			late++
		}
	}
	p.fleet.Record("%d of %d sound requests were refused", p.refused, p.sound)
	p.fleet.Record("%d requests have crashed engines", len(p.crashes))
	p.fleet.Record("%d were sent by routers in touch later than %v after the fifth crash; %d are allowed", late, contactTime, partsAllowed)
	return late > partsAllowed
}
