package front

import (
	"sync"
	"time"
)

// checkTimer runs a check again and again until the check or Stop ends it. Once Stop has
// returned, the check is not running and does not run again. A nil checkTimer does
// nothing.
type checkTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	check   func() time.Duration
	stopped bool
}

// newCheckTimer returns a timer that runs check after the given time. The check returns
// the time until the next one, or 0 for none.
func newCheckTimer(after time.Duration, check func() time.Duration) *checkTimer {
	t := &checkTimer{check: check}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(after, t.run)
	return t
}

func (t *checkTimer) run() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	if next := t.check(); next > 0 {
		t.timer.Reset(next)
	}
}

// Reset sets the time until the next check.
func (t *checkTimer) Reset(d time.Duration) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.timer.Reset(d)
	}
}

// Stop ends the checks.
func (t *checkTimer) Stop() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
