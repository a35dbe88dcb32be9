package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["harmful"] = harmfulCase }

const (
	harmfulPart = "0badcafe"
	// harmfulAllowed is the number of retries that may reach engines later than
	// contactTime after the third crash.
	harmfulAllowed = 3
	// downTime is how long the killed routers are down.
	downTime = time.Second
)

// harmfulCase: a request that crashes each engine which runs it comes again and again. All
// routers are killed at the same moment after it has crashed the third engine.
func harmfulCase(binary string) bool {
	f := NewFleet(binary)
	defer f.Close()
	tenant := Tenant{Name: "sese880", Key: "wu3fexd9dnn2ctnfzs98", Rate: 100_000}
	f.Store.Put("keyed.op", "config", config(7, tenant))
	var mu sync.Mutex
	var crashes []time.Time
	for i := range 12 {
		f.AddEngine(&Engine{Service: llm, Model: model, Zone: zones[i%len(zones)], Events: 20, Interval: 25 * time.Millisecond,
			HarmfulPart: harmfulPart, Downtime: 2 * time.Second, OnRun: func(r Run) {
				if r.Parts != harmfulParts {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				crashes = append(crashes, r.BegunAt)
				f.Record("engine %s begins to run %s and crashes", r.Engine, r.ID)
			}})
	}
	f.StartRouters(3, memoryMB)
	stop := make(chan struct{})
	var others sync.WaitGroup
	for i := range 6 {
		others.Add(1)
		go f.sendSound(&others, stop, tenant, i)
	}
	// The request comes every second until it has crashed three engines, and again once the
	// routers have been in touch for some time.
	n := 0
	send := func() {
		n++
		a := &Attempt{ID: fmt.Sprintf("%02dc41d07be2a35f68", n), Route: "draft", Key: tenant.Key, Parts: harmfulParts, Body: []byte("a harmful prompt"), LimitMS: 15_000}
		f.Record("client sends the harmful request as %s", a.ID)
		a.Do(newClient(), f.Routers[n%len(f.Routers)])
		f.Record("client has %s", a)
	}
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(crashes)
	}
	for count() < 3 && n < 10 {
		send()
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
		send()
		time.Sleep(time.Second)
	}
	close(stop)
	others.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 3 {
		panic("fewer than three crashes")
	}
	late := 0
	for _, at := range crashes[3:] {
		if at.Sub(crashes[2]) > contactTime {
			late++
		}
	}
	f.Record("%d retries have reached engines later than %v after the third crash; %d are allowed", late, contactTime, harmfulAllowed)
	return late > harmfulAllowed
}

const harmfulParts = harmfulPart + ":300,91bd3f06:100"

// sendSound sends requests that do no harm, and records those that a crash cuts off.
func (f *Fleet) sendSound(wait *sync.WaitGroup, stop chan struct{}, t Tenant, client int) {
	defer wait.Done()
	c := newClient()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		a := &Attempt{ID: fmt.Sprintf("s%d-%d", client, n), Route: "draft", Key: t.Key, Parts: fmt.Sprintf("5c1e07a2:200,%d%05d:100", client, n), Body: []byte("a prompt"), LimitMS: 15_000}
		a.Do(c, f.Routers[(client+n)%len(f.Routers)])
		if a.Status == 200 && !a.Whole {
			f.Record("a sound request was cut off: %s", a)
		}
	}
}
