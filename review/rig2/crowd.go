package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case "crowd": one wave of small chunked bodies that stop just short of their
// end and stay open, beside ordinary callers.
const (
	crowdConnections = 2100
	crowdAt          = 6 * time.Second
	crowdRun         = 40 * time.Second
	ordinaryClients  = 12
	ordinaryPause    = 250 * time.Millisecond
	// contactTime and triers are the figures of the rule RECOVER: no new connection is taken
	// for contactMs while seven clients or more try.
	contactTime = 3 * time.Second
	triers      = 7
)

// attempt is one try of an ordinary client, on a new connection.
type attempt struct {
	client int
	at     time.Time
	// answered is when the answer came; zero if the connection was closed without one.
	answered time.Time
}

// runCrowd has a crowd with a key of the configuration: its bodies are read.
func runCrowd(f *fleet, trouble bool) bool { return runCrowdWith(f, trouble, accessKey) }

// runStrangers has a crowd with a key that no configuration holds: its requests are refused
// before their bodies are read.
func runStrangers(f *fleet, trouble bool) bool {
	return runCrowdWith(f, trouble, "aaaaaaaaaaaaaaaaaaaa")
}

// runCrowdWith reports whether the rule RECOVER held.
func runCrowdWith(f *fleet, trouble bool, key string) bool {
	f.startApplication(3)
	f.store.putJSON("keyed.op", "config", config(1))
	r := f.addRouter("front-cl-centro-a-1", "cl-centro-a", "127.0.1.1")
	f.startRouter(r)
	f.awaitReady(r)
	ctx, cancel := context.WithTimeout(context.Background(), crowdRun)
	defer cancel()
	var mu sync.Mutex
	var attempts []attempt
	var wait sync.WaitGroup
	var unready atomic.Bool
	wait.Add(1)
	go func() {
		defer wait.Done()
		watchReadiness(ctx, f, r, &unready)
	}()
	for i := range ordinaryClients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := 0; ctx.Err() == nil; n++ {
				a := ordinaryOrder(ctx, f, r, i, n)
				mu.Lock()
				attempts = append(attempts, a)
				mu.Unlock()
				sleep(ctx, ordinaryPause)
			}
		}()
	}
	sleep(ctx, crowdAt)
	lastTaken := time.Now()
	if trouble {
		lastTaken = startCrowd(ctx, f, r, key)
	}
	wait.Wait()
	span, tried := longestRefusal(attempts, lastTaken)
	f.record.line("longest time without a new connection that was taken: %.3f s, in which %d clients tried; the machine was ready all the time: %v",
		span.Seconds(), tried, !unready.Load())
	f.record.line("orders run, by engine: %s", f.runs)
	return unready.Load() || span < contactTime || tried < triers
}

// longestRefusal returns the longest time without a new connection that was taken, counted
// from when the last connection of the crowd was, and how many clients tried in it.
func longestRefusal(attempts []attempt, from time.Time) (time.Duration, int) {
	var taken []time.Time
	end := from
	for _, a := range attempts {
		if !a.answered.IsZero() && a.at.After(from) {
			taken = append(taken, a.at)
		}
		if a.at.After(end) {
			end = a.at
		}
	}
	longest, tried := time.Duration(0), 0
	for start := from; ; {
		next := end
		for _, at := range taken {
			if at.After(start) && at.Before(next) {
				next = at
			}
		}
		clients := map[int]bool{}
		for _, a := range attempts {
			if a.at.After(start) && a.at.Before(next) {
				clients[a.client] = true
			}
		}
		if next.Sub(start) > longest {
			longest, tried = next.Sub(start), len(clients)
		}
		if !next.Before(end) {
			return longest, tried
		}
		start = next
	}
}

// watchReadiness asks once a second, as the platform does.
func watchReadiness(ctx context.Context, f *fleet, r *router, unready *atomic.Bool) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		resp, err := client.Get(r.readyURL)
		status := 0
		if err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
		}
		f.record.line("readiness: %d", status)
		if status != http.StatusOK {
			unready.Store(true)
		}
		sleep(ctx, time.Second)
	}
}

// ordinaryOrder sends an order on a new connection.
func ordinaryOrder(ctx context.Context, f *fleet, r *router, client, n int) attempt {
	a := attempt{client: client, at: time.Now()}
	outcome := "connection closed without an answer"
	defer func() { f.record.line("client %d, order %d: %s", client, n, outcome) }()
	c, err := dialFrom(net.IPv4(127, 0, 2, byte(1+client)), r)
	if err != nil {
		outcome = "no connection"
		return a
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	_ = c.SetDeadline(time.Now().Add(orderDeadline))
	if _, err = fmt.Fprintf(c, "POST /order/4a HTTP/1.1\r\nHost: shop.example\r\nKumquatsill-Attempt-Id: 0d%06x%08x\r\nAuthorization: Token %s\r\n"+
		"Kumquatsill-Deadline-Remaining: %d\r\nContent-Length: 7\r\n\r\n2 drums", client, n, accessKey, orderDeadline.Milliseconds()); err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	outcome = fmt.Sprint(resp.StatusCode)
	a.answered = time.Now()
	return a
}

func dialFrom(ip net.IP, r *router) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: ip}}
	return d.Dial("tcp4", r.frontAddr)
}

// startCrowd opens the connections of the crowd. None of them tries again. It returns when
// the last one was opened.
func startCrowd(ctx context.Context, f *fleet, r *router, key string) time.Time {
	var opened sync.WaitGroup
	var closed, refused atomic.Int64
	began := time.Now()
	for i := range crowdConnections {
		opened.Add(1)
		go func() {
			c, err := dialFrom(net.IPv4(127, 0, byte(16+i/250), byte(1+i%250)), r)
			opened.Done()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			defer context.AfterFunc(ctx, func() { _ = c.Close() })()
			_, err = fmt.Fprintf(c, "POST /answer/2f HTTP/1.1\r\nHost: shop.example\r\nKumquatsill-Attempt-Id: c0%06x%08x\r\nKumquatsill-Model: m0\r\n"+
				"Kumquatsill-Token-Counts: 826,73\r\nKumquatsill-Prompt-Prefix: 5c1e07a2:198,%x:628\r\nAuthorization: Token %s\r\n"+
				"Kumquatsill-Deadline-Remaining: %d\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n%01000d", i, i, i+1, key, earlyDeadline.Milliseconds(), 7)
			if err != nil {
				refused.Add(1)
				return
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				_ = resp.Body.Close()
			}
			if time.Since(began) < contactTime {
				refused.Add(1)
			} else {
				closed.Add(1)
			}
			if i%500 == 0 && err == nil {
				f.record.line("connection %d of the crowd: %d after %.1f s", i, resp.StatusCode, time.Since(began).Seconds())
			}
		}()
	}
	opened.Wait()
	at := time.Now()
	f.record.line("the crowd has opened %d connections, %.1f s after its first one", crowdConnections, at.Sub(began).Seconds())
	go func() {
		sleep(ctx, contactTime)
		f.record.line("%d connections of the crowd were closed at once, the others are held", refused.Load())
	}()
	return at
}
