package router

import (
	"cmp"
	"encoding/json"
	"errors"
	"maps"
	"regexp"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/ledger"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/suspect"
)

// operatorID matches the ids that operators may choose for log records. The ids
// that routers choose contain a dot, so that they never equal an operator's.
var operatorID = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)

const operatorIDProblem = "the id must be 1 to 64 letters, digits, dashes or underscores"

// submission is a release note or the lifting of a quarantine that operators
// have submitted and whose outcome they wait for.
type submission struct {
	// from holds the operators to answer. An operator that repeats a submission
	// may do so from another address.
	from     []proto.Addr
	deadline proto.Instant
	isLift   bool
	// digest is the digest of the note. liftKey is the fingerprint whose
	// quarantine is to be lifted.
	digest  string
	liftKey suspect.Key
}

func (s *submission) addWaiter(from proto.Addr) {
	if !slices.Contains(s.from, from) {
		s.from = append(s.from, from)
	}
}

func (c *Control) onNoteSubmit(now proto.Instant, from proto.Addr, m proto.NoteSubmit) {
	refuse := func(out proto.NoteOutcome) {
		out.ID, out.Status = m.ID, proto.NoteRefused
		out.Revision = c.state.Snapshot().Revision
		c.Send(from, out)
	}
	if !operatorID.MatchString(string(m.ID)) {
		refuse(proto.NoteOutcome{Problems: []proto.NoteProblem{{Field: "id", Problem: operatorIDProblem}}})
		return
	}
	n, err := note.Parse(m.Note)
	if err != nil {
		refuse(parseOutcome(err))
		return
	}
	if c.answerKnownID(from, m.ID, note.Digest(n)) {
		return
	}
	body := configlog.ReleaseNote{Note: n, Router: c.cfg.ID, SubmittedWall: m.SubmittedWall}
	if err := c.submit(now, from, m.ID, configlog.KindReleaseNote, body); err != nil {
		refuse(proto.NoteOutcome{Detail: err.Error()})
		return
	}
	c.submissions[m.ID].digest = note.Digest(n)
}

func parseOutcome(err error) proto.NoteOutcome {
	var fields *note.ValidationError
	if errors.As(err, &fields) {
		return proto.NoteOutcome{Problems: problems(fields.Fields)}
	}
	return proto.NoteOutcome{Problems: []proto.NoteProblem{{Field: "note", Problem: err.Error()}}}
}

func problems(errs []note.FieldError) []proto.NoteProblem {
	var out []proto.NoteProblem
	for _, e := range errs {
		out = append(out, proto.NoteProblem{Field: e.Field, Problem: e.Problem})
	}
	return out
}

// idInUseOutcome refuses a note whose id belongs to another note.
var idInUseOutcome = proto.NoteOutcome{
	Status:   proto.NoteRefused,
	Problems: []proto.NoteProblem{{Field: "id", Problem: "belongs to another note that was submitted before"}},
}

// answerKnownID handles a submission whose id is known: it answers if the
// outcome is known, and otherwise adds the operator to those that wait for it.
// It returns false if the id is unknown.
func (c *Control) answerKnownID(from proto.Addr, id proto.RecordID, digest string) bool {
	old, known := c.state.Snapshot().Note(id)
	out := noteOutcome(old)
	s := c.submissions[id]
	switch {
	case s != nil && s.digest == digest:
		s.addWaiter(from)
		return true
	case s == nil && !known:
		return false
	case s != nil || hasOtherContent(old, digest):
		out = idInUseOutcome
		out.Revision = c.state.Snapshot().Revision
	}
	out.ID = id
	c.Send(from, out)
	return true
}

// hasOtherContent reports whether a note of the history is known to have a
// content with another digest.
func hasOtherContent(old configlog.NoteOutcome, digest string) bool {
	return old.Digest != "" && old.Digest != digest
}

// submit appends a record under the operator's id. If the operator submits the
// same id through another router, the log receives a second copy, which is
// ignored when it is applied.
func (c *Control) submit(now proto.Instant, from proto.Addr, id proto.RecordID, kind proto.RecordKind, body any) error {
	if _, err := c.log.AppendWithID(now, id, proto.StreamConfig, kind, body); err != nil {
		return err
	}
	c.submissions[id] = &submission{
		from: []proto.Addr{from}, deadline: now.Add(submissionTimeout), isLift: kind == suspect.KindRelease,
	}
	return nil
}

// onOperatorRecord answers the operators that wait for a record which was
// applied without a note outcome: the lifting of a quarantine, or the second
// copy of a note.
func (c *Control) onOperatorRecord(result configlog.Result) {
	id := result.Record.ID
	s := c.submissions[id]
	switch {
	case s == nil:
	case s.isLift:
		c.finishSubmission(id, c.liftOutcome(s.liftKey))
	case result.Outcome == configlog.Duplicate:
		if !c.answerFromHistory(id) {
			c.finishSubmission(id, proto.NoteOutcome{
				Status: proto.NoteUnknown, Detail: "the id was used before, and its outcome is no longer in the history",
			})
		}
	}
}

// liftOutcome reports whether the quarantine was lifted by the record that
// was applied or by an earlier one with the same id.
func (c *Control) liftOutcome(subject suspect.Key) proto.NoteOutcome {
	if _, held := c.suspectRegister.Get(subject); held {
		return proto.NoteOutcome{Status: proto.NoteRefused, Detail: "the id was used before for something else, or the fingerprint is held again"}
	}
	return proto.NoteOutcome{Status: proto.NoteAccepted}
}

func (c *Control) answerFromHistory(id proto.RecordID) bool {
	old, ok := c.state.Snapshot().Note(id)
	if s := c.submissions[id]; !ok || s != nil && s.isLift {
		return false
	}
	c.answerNote(old)
	return true
}

// answerNote sends the outcome of a note to the operators once this router has
// applied its record. The record may hold another note that was submitted under
// the same id through another router.
func (c *Control) answerNote(o configlog.NoteOutcome) {
	out := noteOutcome(o)
	if s := c.submissions[o.ID]; s != nil && hasOtherContent(o, s.digest) {
		out = idInUseOutcome
		out.Revision = o.Revision
	}
	c.finishSubmission(o.ID, out)
}

func noteOutcome(o configlog.NoteOutcome) proto.NoteOutcome {
	return proto.NoteOutcome{Status: noteStatus(o.Result), Revision: o.Revision, Problems: problems(o.Errors)}
}

func noteStatus(r configlog.NoteResult) proto.NoteStatus {
	switch r {
	case configlog.NoteAccepted:
		return proto.NoteAccepted
	case configlog.NoteConflict:
		return proto.NoteConflict
	}
	return proto.NoteRefused
}

func (c *Control) finishSubmission(id proto.RecordID, out proto.NoteOutcome) {
	s := c.submissions[id]
	if s == nil {
		return
	}
	delete(c.submissions, id)
	out.ID = id
	for _, from := range s.from {
		if s.isLift {
			c.Send(from, proto.QuarantineLifted{ID: id, Status: liftStatus(out.Status), Detail: out.Detail})
		} else {
			c.Send(from, out)
		}
	}
}

func liftStatus(s proto.NoteStatus) proto.LiftStatus {
	switch s {
	case proto.NoteAccepted:
		return proto.LiftDone
	case proto.NoteRefused:
		return proto.LiftRefused
	}
	return proto.LiftUnknown
}

// onSubmissionFailed answers a submission whose record the log refused or does
// not hold, or whose outcome is unknown.
func (c *Control) onSubmissionFailed(e ledger.Event) {
	out := proto.NoteOutcome{Status: proto.NoteUnknown, Detail: "the log did not say whether it holds the record; look it up by its id"}
	switch e.Kind {
	case ledger.EventRefused:
		out.Status, out.Detail = proto.NoteRefused, e.Detail
	case ledger.EventAbsent:
		if e.Final {
			out.Status, out.Detail = proto.NoteRefused, "the log did not take the record"
		}
	}
	c.finishSubmission(e.ID, out)
}

// expireSubmissions ends submissions whose deadline has passed. A record that
// reached this router within a peer's checkpoint was not applied here on its
// own, but its outcome is in the history.
func (c *Control) expireSubmissions(now proto.Instant) {
	for _, id := range slices.Sorted(maps.Keys(c.submissions)) {
		deadline := c.submissions[id].deadline
		if c.answerFromHistory(id) || now < deadline {
			continue
		}
		c.log.Abandon(id)
		if now < deadline.Add(housekeepingInterval) {
			continue // the log client may still report the outcome
		}
		// The log holds the record, but this router cannot read it.
		c.finishSubmission(id, proto.NoteOutcome{
			Status: proto.NoteUnknown, Detail: "the router could not read the log in time; look the record up by its id",
		})
	}
}

// onOperator handles an operator's query or request to lift a quarantine.
func (c *Control) onOperator(now proto.Instant, in proto.Envelope) {
	switch m := in.Msg.(type) {
	case proto.HistoryQuery:
		c.Send(in.From, c.history(now, m))
	case proto.ConfigQuery:
		c.onConfigQuery(now, in.From, m)
	case proto.StatusQuery:
		c.Send(in.From, c.status(now, m.ID))
	case proto.ExplainQuery:
		c.onExplain(now, in.From, m)
	case proto.QuarantineLift:
		c.onLift(now, in.From, m)
	}
}

func (c *Control) history(now proto.Instant, m proto.HistoryQuery) proto.HistoryReply {
	out := proto.HistoryReply{ID: m.ID, Entries: []proto.NoteEntry{}, Freshness: c.freshnessStatus(now)}
	for _, o := range c.state.Snapshot().History {
		if m.Note != "" && o.ID != m.Note {
			continue
		}
		out.Entries = append(out.Entries, proto.NoteEntry{
			ID: o.ID, Offset: o.Offset, Status: noteStatus(o.Result), Revision: o.Revision, BasedOn: o.BasedOn,
			Author: o.Author, Reason: o.Reason, Problems: problems(o.Errors), ProblemCount: o.ErrorCount,
			Router: o.Router, SubmittedWall: o.SubmittedWall,
		})
	}
	if m.Max > 0 && len(out.Entries) > m.Max {
		out.Entries = out.Entries[len(out.Entries)-m.Max:]
	}
	s := c.submissions[m.Note]
	out.Pending = s != nil && !s.isLift
	return out
}

func (c *Control) onConfigQuery(now proto.Instant, from proto.Addr, m proto.ConfigQuery) {
	data, err := json.Marshal(c.state.Snapshot().Config)
	if err != nil {
		panic("router: encode configuration: " + err.Error()) // cannot fail, as it was decoded from JSON
	}
	c.Send(from, proto.ConfigReply{ID: m.ID, Config: data, Freshness: c.freshnessStatus(now)})
}

func (c *Control) freshnessStatus(now proto.Instant) proto.Freshness {
	reachable := c.logReachable(now)
	freshUntil := c.fresh.freshUntil(now, c.isLogOutage(now))
	return proto.Freshness{
		Stamp: c.stamp(), Router: c.cfg.ID, Ready: c.ready, Draining: c.draining,
		CaughtUpAge: c.fresh.caughtUpAge(now), FreshFor: max(0, freshUntil.Sub(now)), LogReachable: reachable,
		GeneralOutage: c.isLogOutage(now),
	}
}

func (c *Control) status(now proto.Instant, id string) proto.StatusReply {
	snap := c.state.Snapshot()
	return proto.StatusReply{
		ID: id, Freshness: c.freshnessStatus(now), Routers: c.routerStatus(now, snap), Leases: leaseStatus(snap),
		Endpoints: c.endpointStatus(now, snap.Config), Suspects: c.suspectStatus(), Counters: c.counters(),
	}
}

func (c *Control) routerStatus(now proto.Instant, snap *configlog.Snapshot) []proto.RouterStatus {
	out := []proto.RouterStatus{}
	for _, id := range slices.Sorted(maps.Keys(snap.Routers)) {
		r := snap.Routers[id]
		s := proto.RouterStatus{Router: id, Addr: r.Addr, Domain: r.Domain, Slot: r.Slot, HeartbeatAge: proto.AgeUnknown}
		if report, ok := c.fresh.reports[id]; ok {
			s.HeartbeatAge, s.LogReachable = now.Sub(report.at), report.reachable
		}
		if id == c.cfg.ID {
			s.Self, s.HeartbeatAge, s.LogReachable = true, 0, c.logReachable(now)
		}
		out = append(out, s)
	}
	return out
}

func leaseStatus(snap *configlog.Snapshot) []proto.LeaseStatus {
	out := []proto.LeaseStatus{}
	for _, name := range slices.Sorted(maps.Keys(snap.Leases)) {
		l, _ := snap.Lease(name)
		out = append(out, proto.LeaseStatus{
			Name: name, Holder: l.Holder, Fence: l.Fence, LastUpdate: l.LastUpdate, TTL: l.TTL, Balance: l.Balance, Released: l.Released,
		})
	}
	return out
}

func (c *Control) endpointStatus(now proto.Instant, cfg *note.Config) []proto.EndpointStatus {
	out := []proto.EndpointStatus{}
	for _, id := range slices.Sorted(maps.Keys(cfg.Endpoints)) {
		e := cfg.Endpoints[id]
		s := proto.EndpointStatus{
			Endpoint: id, Kind: string(e.Kind), Domain: e.Domain, Addr: e.Addr, Leaving: e.Leaving, ReportAge: proto.AgeUnknown,
		}
		if instance, ok := c.deps.EndpointTable.Get(id); ok {
			s.ReportAge, s.Report = now.Sub(instance.ReportedAt), instance.Report
		}
		out = append(out, s)
	}
	return out
}

func (c *Control) suspectStatus() []proto.SuspectStatus {
	out := []proto.SuspectStatus{}
	for _, e := range c.suspectRegister.Export() {
		s := proto.SuspectStatus{Account: e.Account, Fingerprint: e.Fingerprint, Quarantined: e.Quarantined, Since: e.Since}
		for _, crash := range e.Crashes {
			s.Endpoints = append(s.Endpoints, crash.Endpoint)
		}
		out = append(out, s)
	}
	return out
}

func (c *Control) counters() []proto.Counter {
	config, log, exchanges, trail := c.state.Counters(), c.log.Counters(), c.deps.Stats, c.audit.trail.Stats()
	out := []proto.Counter{
		{Name: "audit_confirmed", Value: trail.Confirmed},
		{Name: "audit_dropped", Value: trail.Dropped},
		{Name: "audit_errors", Value: c.stats.AuditErrors},
		{Name: "audit_held", Value: int64(trail.Pending)},
		{Name: "config_beaten", Value: config.Conflicting},
		{Name: "config_duplicates", Value: config.Duplicates},
		{Name: "config_refused", Value: config.Refused},
		{Name: "config_stale", Value: config.Stale},
		{Name: "control_append_errors", Value: c.stats.AppendErrors},
		{Name: "control_bad_replies", Value: c.stats.BadReplies},
		{Name: "control_checkpoint_errors", Value: c.stats.CheckpointErrors},
		{Name: "control_checkpoints", Value: c.stats.Checkpoints},
		{Name: "exchange_gaps", Value: exchanges.Gaps.Load()},
		{Name: "exchange_late", Value: exchanges.Late.Load()},
		{Name: "exchange_misdelivered", Value: exchanges.Misdelivered.Load()},
		{Name: "exchange_reattached", Value: exchanges.Reattached.Load()},
		{Name: "exchange_repeated", Value: exchanges.Repeated.Load()},
		{Name: "exchange_retries", Value: exchanges.Retries.Load()},
		{Name: "exchange_silent", Value: exchanges.Silent.Load()},
		{Name: "log_appends", Value: log.Appends},
		{Name: "log_failures", Value: log.Failures},
		{Name: "log_lookups", Value: log.Lookups},
		{Name: "log_malformed", Value: log.Malformed},
		{Name: "log_reappends", Value: log.Reappends},
		{Name: "log_timeouts", Value: log.Timeouts},
		{Name: "log_unknown", Value: log.Unknown},
	}
	if c.cfg.Checks == nil {
		return out
	}
	for _, inv := range check.All {
		out = append(out, proto.Counter{Name: "failed_" + string(inv), Value: c.cfg.Checks.Counts(inv).Failed})
	}
	return out
}

func (c *Control) onLift(now proto.Instant, from proto.Addr, m proto.QuarantineLift) {
	answer := func(status proto.LiftStatus, detail string) {
		c.Send(from, proto.QuarantineLifted{ID: m.ID, Status: status, Detail: detail})
	}
	if !operatorID.MatchString(string(m.ID)) {
		answer(proto.LiftRefused, operatorIDProblem)
		return
	}
	key := suspect.Key{Account: m.Account, Fingerprint: m.Fingerprint}
	if s := c.submissions[m.ID]; s != nil && s.isLift && s.liftKey == key {
		s.addWaiter(from)
		return
	}
	if _, ok := c.state.Snapshot().Note(m.ID); ok || c.submissions[m.ID] != nil {
		answer(proto.LiftRefused, "the id belongs to another order or note")
		return
	}
	if _, ok := c.suspectRegister.Get(key); !ok {
		answer(proto.LiftAbsent, "the fingerprint is neither quarantined nor suspect for this account")
		return
	}
	body := suspect.Release{Key: key, By: cmp.Or(m.Operator, "operator")}
	if err := c.submit(now, from, m.ID, suspect.KindRelease, body); err != nil {
		answer(proto.LiftRefused, err.Error())
		return
	}
	c.submissions[m.ID].liftKey = key
}

func (c *Control) onExplain(now proto.Instant, from proto.Addr, m proto.ExplainQuery) {
	if m.Request == "" {
		c.Send(from, proto.ExplainReply{ID: m.ID, Detail: "the query names no request"})
		return
	}
	if ended, ok := c.recentRequests.find(m.Request); ok {
		c.Send(from, proto.ExplainReply{ID: m.ID, Request: &ended, Source: proto.ExplainedByRouter, Router: c.cfg.ID})
		return
	}
	c.search(now, from, m)
}
