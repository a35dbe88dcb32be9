package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

// Times of silentConnections. A router is in touch again inTouchAfter after its connections fell silent:
// contactMs and half a second in its favour. A version binds configBound after its confirmation.
const (
	settleTime    = 10 * time.Second
	roundTime     = 11500 * time.Millisecond
	silenceToKey  = 500 * time.Millisecond
	inTouchAfter  = 3500 * time.Millisecond
	configBound   = 2 * time.Second
	probeUntil    = 5500 * time.Millisecond
	probeInterval = 25 * time.Millisecond
	// recordedRuns is how many requests of a router and round are written to the record.
	recordedRuns = 3
)

// silentAfter holds, for each round, how long after new weights were named the connections fall silent.
// The phase of the long polls at that moment differs from round to round.
var silentAfter = []time.Duration{
	4900 * time.Millisecond, 5200 * time.Millisecond, 4700 * time.Millisecond, 5400 * time.Millisecond, 5000 * time.Millisecond,
	4500 * time.Millisecond, 5100 * time.Millisecond, 4900 * time.Millisecond,
}

// silentConnections makes the open connections to the store silent again and again, takes a key away half
// a second later, and uses that key at routers that are in touch again.
func silentConnections(f *fleet, trouble bool) (bool, error) {
	plain, err := f.addEngine("i-plain1", "plain", "")
	if err != nil {
		return false, err
	}
	for i := range 12 {
		if _, err := f.addEngine(fmt.Sprintf("i-llm%d", i+1), "llm", "m"); err != nil {
			return false, err
		}
	}
	look := route("look", "safe", "plain", 1500, 150, false)
	keys := []string{"key0", "key1"}
	f.publish(keys, look)
	if err := f.startRouters(3); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	isBroken := false
	for round, wait := range silentAfter {
		began := time.Now()
		f.nameVersion()
		time.Sleep(wait)
		silentAt := time.Now()
		if trouble {
			f.record.line("round %d: %d open connections to the store fall silent", round+1, f.proxy.silence())
		}
		time.Sleep(silenceToKey)
		old := keys[0]
		keys = append(slices.Clone(keys[1:]), fmt.Sprintf("key%d", round+2))
		confirmed := f.publish(keys, look)
		f.record.lineAt(confirmed, "round %d: key %s is taken away by version %d", round+1, old, f.revision)
		time.Sleep(time.Until(silentAt.Add(inTouchAfter)))
		if useKey(f, plain, old, confirmed, silentAt.Add(probeUntil)) {
			isBroken = true
		}
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	return isBroken, nil
}

// useKey sends requests with a key to all routers and reports whether any ran that was sent too late.
func useKey(f *fleet, plain *hosting.Engine, key string, confirmed, until time.Time) bool {
	var wait sync.WaitGroup
	var mu sync.Mutex
	ran := false
	for _, r := range f.routers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c, runs, last := newClient(), 0, time.Duration(0)
			for time.Now().Before(until) {
				a := c.call(r.callerAddr, "GET", "/look/1", key, 1500*time.Millisecond, "")
				if a.sent.Sub(confirmed) > configBound && hasRun(plain, a.id) {
					last = a.sent.Sub(confirmed)
					if runs++; runs > recordedRuns {
						time.Sleep(probeInterval)
						continue
					}
					f.record.lineAt(a.sent, "request %s with key %s sent to %s, %.3f s after the key was taken away; run; answered %d", a.id, key, r.name, a.sent.Sub(confirmed).Seconds(), a.status)
					mu.Lock()
					ran = true
					mu.Unlock()
				}
				time.Sleep(probeInterval)
			}
			if runs > 0 {
				f.record.line("%s ran %d requests that came too late, the last one %.3f s after the key was taken away", r.name, runs, last.Seconds())
			}
		}()
	}
	wait.Wait()
	return ran
}

func hasRun(e *hosting.Engine, id string) bool {
	return slices.ContainsFunc(e.Runs(), func(r hosting.Run) bool { return r.AttemptID == id })
}
