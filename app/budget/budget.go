// Package budget connects the decisions of core/membudget to the reading of request bodies:
// it waits for memory and interrupts reads.
package budget

import (
	"net/http"
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/membudget"
)

// reclaimTime limits the wait for memory that others were told to release, which takes them
// the time to wake up.
const reclaimTime = 250 * time.Millisecond

// RetryAfter is the Retry-After time of refusals for lack of memory. Bodies without progress
// make room after a second.
const RetryAfter = time.Second

// Reserve requests n bytes for a holder and interrupts the holders that make room. It reports
// whether they are granted.
func Reserve(h *membudget.Holder, n int64, interrupt func([]*membudget.Holder)) bool {
	var timeout <-chan time.Time
	for {
		a := h.Grow(driver.Now(), n)
		if a.OK || a.Released == nil {
			return a.OK
		}
		interrupt(a.Interrupt)
		if timeout == nil {
			timeout = time.After(reclaimTime)
		}
		select {
		case <-a.Released:
		case <-timeout:
			return false
		}
	}
}

// Reading is the reading of one body, whose read deadline others may move to the past.
type Reading struct {
	Control *http.ResponseController
	// Holder is what the body holds.
	Holder *membudget.Holder

	// mu guards done, which is set once the read deadline is no longer that of this body.
	mu   sync.Mutex
	done bool
}

// SetDeadline sets the read deadline, unless the reading was interrupted.
func (r *Reading) SetDeadline(in time.Duration) {
	_ = r.Control.SetReadDeadline(time.Now().Add(in))
	if r.Holder.Cause() != membudget.NotReclaimed {
		r.Expire() // it was interrupted meanwhile
	}
}

// Expire moves the read deadline to the past.
func (r *Reading) Expire() { _ = r.Control.SetReadDeadline(time.Now()) }

// Clear removes the read deadline.
func (r *Reading) Clear() { _ = r.Control.SetReadDeadline(time.Time{}) }

// Interrupt makes a read in progress return. Other goroutines may call it at any time.
func (r *Reading) Interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.done {
		r.Expire()
	}
}

// End ends the reading: others do not change the read deadline any more. It returns why the
// body was told to release its memory, if it was.
func (r *Reading) End() membudget.Cause {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = true
	return r.Holder.Cause()
}
