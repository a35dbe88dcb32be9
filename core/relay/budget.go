package relay

import (
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// BudgetConfig bounds the further attempts of one service at one router.
type BudgetConfig struct {
	// Ratio is the number of further attempts that each request allows.
	Ratio float64
	// Window is how long unused allowance lasts.
	Window time.Duration
	// Reserve is the number of further attempts that are allowed without any
	// request.
	Reserve float64
}

// RetryBudget allows further attempts in proportion to the requests of the
// last window, so that an outage is not made worse by retries. It is safe for
// concurrent use.
type RetryBudget struct {
	mu  sync.Mutex
	cfg BudgetConfig
	// level is the allowance left.
	level float64
	// perSecond is a moving mean of the requests in a second.
	perSecond float64
	at        proto.Instant
}

// NewRetryBudget returns a budget with its whole reserve.
func NewRetryBudget(now proto.Instant, cfg BudgetConfig) *RetryBudget {
	return &RetryBudget{cfg: cfg, level: cfg.Reserve, at: now}
}

// Configure sets the bounds in force. What a greater reserve adds comes over a
// window.
func (b *RetryBudget) Configure(now proto.Instant, cfg BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.cfg = cfg
	b.level = min(b.level, b.ceiling())
}

// RecordRequest records a request from a caller.
func (b *RetryBudget) RecordRequest(now proto.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.perSecond += 1 / b.cfg.Window.Seconds()
	b.level = min(b.level+b.cfg.Ratio, b.ceiling())
}

// Take spends one further attempt and reports whether the budget allowed it.
func (b *RetryBudget) Take(now proto.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// advance lets the mean of requests fade and the reserve come back over a window.
func (b *RetryBudget) advance(now proto.Instant) {
	elapsed := max(0, now.Sub(b.at))
	b.at = max(b.at, now)
	part := min(1, elapsed.Seconds()/b.cfg.Window.Seconds())
	b.perSecond *= 1 - part
	b.level = min(b.level+b.cfg.Reserve*part, b.ceiling())
}

// ceiling is what may be spent at one moment: the reserve and the allowance of
// half a window's requests.
func (b *RetryBudget) ceiling() float64 {
	return b.cfg.Reserve + b.cfg.Ratio*b.perSecond*b.cfg.Window.Seconds()/2
}
