package router

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/suspect"
)

// initSuspects creates the table of requests that are suspected of crashing
// endpoints.
func (c *Control) initSuspects() {
	c.suspectRegister = suspect.NewRegister()
	c.suspects = suspect.New(suspect.Config{
		Self:               c.Self(),
		Router:             c.cfg.ID,
		Seed:               c.cfg.Seed,
		QuarantineDuration: c.quarantineDuration,
		EngineIncarnation:  c.engineIncarnation,
		ReadByAll:          c.readByAll,
	}, c.log, c.suspectRegister)
	c.state.SetExtension(suspectExtension{c})
}

// engineIncarnation returns the last reported incarnation of an endpoint's
// engine, and when it was reported.
func (c *Control) engineIncarnation(id proto.EndpointID) (proto.Incarnation, proto.Instant, bool) {
	instance, ok := c.deps.EndpointTable.Get(id)
	return instance.EngineIncarnation, instance.ReportedAt, ok
}

// readByAll reports whether this router and all its selected peers have read
// the config stream beyond an offset.
func (c *Control) readByAll(offset proto.Offset) bool {
	for id := range maps.Keys(c.peers.selected) {
		if c.peers.offsets[id] <= offset {
			return false
		}
	}
	return c.state.NextOffset() > offset
}

// suspectExtension applies the suspect records of the config stream.
type suspectExtension struct{ c *Control }

var _ configlog.Extension = suspectExtension{}

// Owns implements configlog.Extension.
func (e suspectExtension) Owns(kind proto.RecordKind) bool {
	switch kind {
	case suspect.KindSuspect, suspect.KindTrial, suspect.KindTrialEnd, suspect.KindQuarantine, suspect.KindRelease:
		return true
	}
	return false
}

// Apply implements configlog.Extension.
func (e suspectExtension) Apply(rec proto.Record) {
	c := e.c
	if key, ok := c.suspectRegister.Apply(c.now, rec); ok {
		c.suspects.RecordApplied(c.now, key, rec)
		c.suspectsChanged = true
	}
}

// Export implements configlog.Extension.
func (e suspectExtension) Export() (json.RawMessage, error) {
	data, err := json.Marshal(e.c.suspectRegister.Export())
	return data, Error.Wrap(err)
}

// Import implements configlog.Extension.
func (e suspectExtension) Import(data json.RawMessage) error {
	var entries []suspect.Entry
	if err := json.Unmarshal(data, &entries); err != nil {
		return Error.Wrap(err)
	}
	e.c.suspectRegister.Import(e.c.now, entries)
	e.c.suspectsChanged = true
	return nil
}

func (c *Control) quarantineDuration() time.Duration {
	return time.Duration(c.state.Snapshot().Config.Policy.Quarantine)
}
