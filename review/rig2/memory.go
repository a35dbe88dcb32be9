package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// requiredMachines and requiredEnds are the figures of the rule Fault: processes end by
	// themselves three times on a tenth of the machines, two at least.
	requiredMachines, requiredEnds = 2, 3
	// memoryRun is how long the cases about memory run at most.
	memoryRun    = 60 * time.Second
	samplePeriod = 10 * time.Millisecond
	// restartDelay is the platform's delay before it starts a process again.
	restartDelay = time.Second
)

// policedMachine is a machine of which the platform enforces the memory limit.
type policedMachine struct {
	router *router
	ends   int
}

// police enforces the memory limit of a machine as DEPLOY.md says: a process that exceeds
// memoryMb is killed, and started again after a short delay. It returns after requiredEnds.
func (f *fleet) police(ctx context.Context, m *policedMachine) {
	r, peak := m.router, 0
	tick := time.NewTicker(samplePeriod)
	defer tick.Stop()
	for n := 0; m.ends < requiredEnds; n++ {
		select {
		case <-ctx.Done():
			f.record.line("%s: peak of its last process %d KB", r.name, peak)
			return
		case <-r.ended():
			f.record.line("%s: the process ended by itself", r.name)
		case <-tick.C:
			rss := r.memoryKB("VmRSS")
			peak = max(peak, rss)
			if n%100 == 0 {
				f.record.line("%s: memory %d KB of %d KB", r.name, rss, memoryMb<<10)
			}
			if rss <= memoryMb<<10 {
				continue
			}
			f.record.line("%s: memory %d KB exceeds %d MiB, the platform kills the process", r.name, rss, memoryMb)
			r.signal(syscall.SIGKILL)
			<-r.ended()
		}
		m.ends++
		peak = 0
		select {
		case <-ctx.Done():
			return
		case <-time.After(restartDelay):
		}
		f.startRouter(r)
	}
}

// runMemoryCase runs two machines whose memory is limited, and load on each of them. It
// reports whether the rule Fault held.
func (f *fleet) runMemoryCase(load func(ctx context.Context, r *router)) bool {
	f.store.putJSON("keyed.op", "config", config(1))
	machines := []*policedMachine{
		{router: f.addRouter("front-cl-centro-a-1", "cl-centro-a", "127.0.1.1")},
		{router: f.addRouter("front-cl-centro-b-1", "cl-centro-b", "127.0.1.2")},
	}
	for _, m := range machines {
		f.startRouter(m.router)
	}
	for _, m := range machines {
		f.awaitReady(m.router)
	}
	time.Sleep(2 * time.Second) // the engines are listed, accounts have their full rates
	ctx, cancel := context.WithTimeout(context.Background(), memoryRun)
	defer cancel()
	var police, clients sync.WaitGroup
	for _, m := range machines {
		f.record.line("%s: memory %d KB before the requests", m.router.name, m.router.memoryKB("VmRSS"))
		police.Add(1)
		go func() {
			defer police.Done()
			f.police(ctx, m)
		}()
		clients.Add(1)
		go func() {
			defer clients.Done()
			load(ctx, m.router)
		}()
	}
	police.Wait()
	cancel()
	clients.Wait()
	ended := 0
	for _, m := range machines {
		f.record.line("%s: its process ended by itself %d times, memory over the limit counts", m.router.name, m.ends)
		if m.ends >= requiredEnds {
			ended++
		}
	}
	return ended < requiredMachines
}

// startApplication starts engines of the plain service, which take a usual time for an order.
func (f *fleet) startApplication(n int) {
	const workTime = 30 * time.Millisecond
	for i := range n {
		e := &engine{id: fmt.Sprintf("i-pedidos%03d", i), service: "pedidos", zone: "cl-centro-a", slots: 6}
		slots := make(chan struct{}, e.slots)
		e.run = func(c net.Conn, _ *bufio.Reader, r *http.Request) bool {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return false
			}
			id := r.Header.Get("Kumquatsill-Attempt-Id")
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
			case <-time.After(300 * time.Millisecond):
				plain(c, 503, fmt.Sprintf("Kumquatsill-Attempt-Id: %s\r\nKumquatsill-Not-Executed: 1\r\nKumquatsill-Instance: %s\r\n", id, e.id), "")
				return true
			}
			time.Sleep(workTime)
			f.runs.add(e.id)
			plain(c, 200, fmt.Sprintf("Kumquatsill-Attempt-Id: %s\r\nKumquatsill-Response-Signature: sig.%s\r\nKumquatsill-Instance: %s\r\n", id, e.id, e.id), "ordered")
			return true
		}
		e.start()
		go e.keepRegistered(f.store)
	}
}
