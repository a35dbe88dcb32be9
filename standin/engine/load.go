package engine

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

func (e *Engine) reportLoad() {
	if e.life == nil || e.now.Before(e.nextLoad) {
		return
	}
	e.nextLoad = e.now.Add(e.cfg.LoadReportInterval)
	var prompt int64
	for _, r := range e.life.waiting {
		prompt += r.msg.PromptTokens
	}
	report := proto.LoadReport{Incarnation: e.life.incarnation, Running: len(e.life.running), PrefillTokens: prompt}
	e.out.SendAfter(e.now, e.cfg.LoadReportDelay, e.agent, report)
}

// PrefillBacklog returns the time until the prompt work that the engine has taken is done.
func (e *Engine) PrefillBacklog(now proto.Instant) time.Duration {
	if e.life == nil {
		return 0
	}
	return max(0, e.life.prefillFree.Sub(now))
}
