package front

import (
	"sync"
	"time"
)

// checkTimer runs a check again and again until the check or Stop ends it. A nil
// checkTimer does nothing.
type checkTimer struct {
	mu    sync.Mutex
	timer *time.Timer
	check func() time.Duration
	// stopped is set while no check may run.
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

// Stop ends the checks until Resume. Once it has returned, the check is not running.
func (t *checkTimer) Stop() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// Resume continues the checks after the given time.
func (t *checkTimer) Resume(after time.Duration) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = false
	t.timer.Reset(after)
}
