package hosting

import (
	"net/http"
	"strings"
	"time"
)

// SetCrashingPart makes the engine crash after the head of the response to each run whose
// prompt contains a part. Its next incarnation registers at once, and serves CrashDowntime
// later.
func (e *Engine) SetCrashingPart(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashingPart = id
}

// crashes reports whether a request makes the engine crash, and begins its next
// incarnation if so.
func (e *Engine) crashes(r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashingPart == "" || !strings.Contains(r.Header.Get("Kumquatsill-Prompt-Prefix"), e.crashingPart+":") {
		return false
	}
	e.crash()
	return true
}

// crash ends the incarnation; mu must be held.
func (e *Engine) crash() {
	e.downUntil = time.Now().Add(e.CrashDowntime)
	e.restart()
}

// SayLeaving makes the engine say in all its answers whether it leaves.
func (e *Engine) SayLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Restart begins a new incarnation of the engine, which does not leave unless KeepsLeaving is
// set.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

// restart begins a new incarnation; mu must be held.
func (e *Engine) restart() {
	e.startedAt = max(e.startedAt+1, time.Now().UnixMilli())
	e.leaving = e.leaving && e.KeepsLeaving
	if e.OnRestart != nil {
		go e.OnRestart()
	}
}

// isLeaving reports whether the engine says that it leaves.
func (e *Engine) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving && !e.isDown()
}

// isDown reports whether the engine has crashed and is not back yet. It refuses all runs then
// and says nothing of itself; mu must be held.
func (e *Engine) isDown() bool { return time.Now().Before(e.downUntil) }

// crashSilently ends the incarnation some time before its connections are reset.
func (e *Engine) crashSilently() {
	e.mu.Lock()
	e.crash()
	e.mu.Unlock()
	time.Sleep(silentCrashTime)
}

// silentCrashTime is longer than the begin of an answer, and too short for a stall.
const silentCrashTime = 700 * time.Millisecond
