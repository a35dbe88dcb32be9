package relay

import (
	"math"
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// BudgetConfig configures the retry budget of one service at one router.
type BudgetConfig struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Window is the period over which requests count towards the budget and a
	// spent reserve refills. The limit on unused retries from past requests decays
	// over the same period.
	Window time.Duration
	// Reserve is the number of retries allowed per window regardless of the number
	// of requests.
	Reserve float64
}

// RetryBudget limits retries to a share of the requests of the last window, so
// that retries do not amplify an outage. It is safe for concurrent use.
type RetryBudget struct {
	mu  sync.Mutex
	cfg BudgetConfig
	// available is the number of retries left.
	available float64
	// requestRate is a decaying average of the requests per second.
	requestRate float64
	updatedAt   proto.Instant
	// urgentRank is the most urgent rank of the requests of the last window, last seen at
	// urgentAt.
	urgentRank int
	urgentAt   proto.Instant
}

// NewRetryBudget returns a budget with a full reserve.
func NewRetryBudget(now proto.Instant, cfg BudgetConfig) *RetryBudget {
	return &RetryBudget{cfg: cfg, available: cfg.Reserve, updatedAt: now, urgentRank: math.MaxInt}
}

// Configure replaces the configuration. If the reserve grows, the difference
// becomes available gradually over a window.
func (b *RetryBudget) Configure(now proto.Instant, cfg BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.cfg = cfg
	b.available = min(b.available, b.maxAvailable())
}

// RecordRequest records a request of a rank from a caller.
func (b *RetryBudget) RecordRequest(now proto.Instant, rank int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.noteRank(now, rank)
	b.requestRate += 1 / b.cfg.Window.Seconds()
	b.available = min(b.available+b.cfg.Ratio, b.maxAvailable())
}

// advance decays the request rate and refills the reserve for the time since the
// last update.
func (b *RetryBudget) advance(now proto.Instant) {
	elapsed := max(0, now.Sub(b.updatedAt))
	b.updatedAt = max(b.updatedAt, now)
	fraction := min(1, elapsed.Seconds()/b.cfg.Window.Seconds())
	b.requestRate *= 1 - fraction
	b.available = min(b.available+b.cfg.Reserve*fraction, b.maxAvailable())
}

// maxAvailable returns the upper bound of available: the reserve plus the retries
// allowed by half a window of requests at the current rate.
func (b *RetryBudget) maxAvailable() float64 {
	return b.cfg.Reserve + b.cfg.Ratio*b.requestRate*b.cfg.Window.Seconds()/2
}
