package engine

import (
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// reportLoad sends the load to the agent every LoadReportInterval.
func (e *Engine) reportLoad() {
	if e.instance == nil || e.now.Before(e.nextLoad) {
		return
	}
	e.nextLoad = e.now.Add(e.cfg.LoadReportInterval)
	var prompt int64
	for _, r := range e.instance.waiting {
		prompt += r.msg.PromptTokens
	}
	report := proto.LoadReport{Incarnation: e.instance.incarnation, Running: len(e.instance.running), PrefillTokens: prompt}
	e.out.SendAfter(e.now, e.cfg.LoadReportDelay, e.agent, report)
}

// PrefillBacklog returns the time until the prefill of all admitted runs is done.
func (e *Engine) PrefillBacklog(now proto.Instant) time.Duration {
	if e.instance == nil {
		return 0
	}
	return max(0, e.instance.prefillFreeAt.Sub(now))
}
