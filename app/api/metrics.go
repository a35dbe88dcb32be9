package api

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kumquatsill/kumquatsill/core/membudget"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// maxAccountLabels limits the number of values of the account label; further
// accounts share the value "other".
const maxAccountLabels = 1500

// Metrics holds the metrics of the caller API.
type Metrics struct {
	set      *metrics.Set
	mu       sync.Mutex
	accounts map[proto.AccountID]bool
}

// NewMetrics returns metrics that register in set when first updated.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{set: set, accounts: map[proto.AccountID]bool{}}
}

// observeBudget adds the metrics of what is held for callers.
func (m *Metrics) observeBudget(b *membudget.Budget) {
	m.set.GetOrCreateGauge("kumquatsill_caller_memory_limit_bytes", func() float64 { return float64(b.Limit()) })
	for _, k := range []membudget.Kind{membudget.Bodies, membudget.KeptBodies} {
		m.set.GetOrCreateGauge(fmt.Sprintf(`kumquatsill_caller_memory_bytes{kind=%q}`, k), func() float64 { return float64(b.Held(k)) })
	}
}

func (m *Metrics) labels(account proto.AccountID, class proto.Class) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.accounts[account] {
		if len(m.accounts) >= maxAccountLabels {
			account = "other"
		} else {
			m.accounts[account] = true
		}
	}
	return fmt.Sprintf("{account=%q,class=%q}", account, class)
}

func (m *Metrics) observeFirstToken(account proto.AccountID, class proto.Class, d time.Duration) {
	m.set.GetOrCreateHistogram("kumquatsill_first_token_seconds" + m.labels(account, class)).Update(d.Seconds())
}

// requestEnded records a request that was served.
func (m *Metrics) requestEnded(account proto.AccountID, class proto.Class, d time.Duration, usage proto.Usage) {
	labels := m.labels(account, class)
	m.set.GetOrCreateHistogram("kumquatsill_request_seconds" + labels).Update(d.Seconds())
	m.set.GetOrCreateCounter("kumquatsill_prompt_tokens_total" + labels).AddInt64(usage.PromptTokens)
	m.set.GetOrCreateCounter("kumquatsill_cached_tokens_total" + labels).AddInt64(usage.CachedTokens)
	m.set.GetOrCreateCounter("kumquatsill_completion_tokens_total" + labels).AddInt64(usage.CompletionTokens)
}

func (m *Metrics) requestRefused(p *Problem) {
	m.set.GetOrCreateCounter(fmt.Sprintf("kumquatsill_refusals_total{cause=%q,verdict=%q}", p.cause, p.Verdict)).Inc()
}

// callerAbandoned counts a request that was given up because of its caller.
func (m *Metrics) callerAbandoned(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("kumquatsill_callers_abandoned_total{reason=%q}", reason)).Inc()
}
