package main

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopCase }

const (
	// stopClients is the number of clients that hold an open connection without a request.
	stopClients = 8
	// openAfter is when they open it, sendAfter when they send a request on it, both counted
	// from SIGTERM. The time between is less than four fifths of idleTimeoutMs.
	openAfter = 500 * time.Millisecond
	sendAfter = 3500 * time.Millisecond
)

// stopCase: a router is stopped with SIGTERM. Clients have opened connections to it before
// the platform takes it out, and send their first request on them a few seconds later.
func stopCase(binary string) bool {
	f := NewFleet(binary)
	defer f.Close()
	tenant := Tenant{Name: "sese880", Key: "wu3fexd9dnn2ctnfzs98", Rate: 100_000}
	f.Store.Put("keyed.op", "config", config(7, tenant))
	for _, z := range zones {
		// A stream lasts 5 s, a third of its time limit.
		f.AddEngine(&Engine{Service: llm, Model: model, Zone: z, Events: 100, Interval: 50 * time.Millisecond, OnRun: func(r Run) {
			f.Record("engine %s begins to run %s", r.Engine, r.ID)
		}})
	}
	f.StartRouters(3, memoryMB)
	r := f.Routers[0]
	if trouble {
		f.Record("SIGTERM to %s", r.Name)
		check(r.cmd.Process.Signal(syscall.SIGTERM))
		go func(done chan struct{}) {
			<-done
			f.Record("%s has ended", r.Name)
		}(r.done)
	}
	begun := time.Now()
	attempts := make([]*Attempt, stopClients)
	var wait sync.WaitGroup
	for i := range attempts {
		a := &Attempt{ID: string(rune('a'+i)) + "0c41d07be2a35f6", Route: "draft", Key: tenant.Key, Parts: "5c1e07a2:300,9" + string(rune('a'+i)) + "3f06:100", Body: []byte("a prompt"), LimitMS: 15_000}
		attempts[i] = a
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Until(begun.Add(openAfter)))
			conn, err := net.Dial("tcp4", r.Caller)
			check(err)
			f.Record("client of %s has opened a connection", a.ID)
			time.Sleep(time.Until(begun.Add(sendAfter)))
			f.Record("client sends %s", a.ID)
			a.Do(clientOn(conn), r)
			f.Record("client has %s", a)
		}()
	}
	wait.Wait()
	return f.reportLost(attempts)
}

// clientOn returns a client that sends on one open connection only.
func clientOn(conn net.Conn) *http.Client {
	used := false
	return &http.Client{Transport: &http.Transport{DisableCompression: true, Dial: func(string, string) (net.Conn, error) {
		if used {
			return nil, net.ErrClosed
		}
		used = true
		return conn, nil
	}}}
}

// reportLost reports whether a request was passed on to an engine and its client got no
// complete answer.
func (f *Fleet) reportLost(attempts []*Attempt) bool {
	ran := map[string]bool{}
	for _, e := range f.Engines {
		for _, r := range e.Runs() {
			ran[r.ID] = true
		}
	}
	lost := 0
	for _, a := range attempts {
		if ran[a.ID] && !a.Whole {
			lost++
			f.Record("lost: %s ran, and its connection ended %d ms after it was sent without a complete answer", a.ID, a.EndedAt.Sub(a.SentAt).Milliseconds())
		}
	}
	f.Record("%d of %d requests lost", lost, len(attempts))
	return lost > 0
}
