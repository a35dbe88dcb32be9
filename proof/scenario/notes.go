package scenario

import (
	"fmt"
	"maps"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Note submits a note through router via. Its base is the newest revision in the
// log.
func (r *Run) Note(via int, n note.Note) {
	r.notes++
	n.BasedOn = r.logState.Snapshot().Config.Revision
	r.Submit(via, proto.RecordID(fmt.Sprintf("note-%d", r.notes)), n)
}

// ResubmitFirstNote submits the first note again under a new id, as an operator who
// got no reply would.
func (r *Run) ResubmitFirstNote(via int) {
	r.notes++
	r.Submit(via, proto.RecordID(fmt.Sprintf("first-%d", r.notes)), r.first)
}

// Revision returns the newest revision in the log.
func (r *Run) Revision() proto.Revision { return r.logState.Snapshot().Config.Revision }

// onAppend applies appended records of the config stream and reports accepted notes
// to the oracle.
func (r *Run) onAppend(now proto.Instant, stream string, rec proto.Record) {
	if stream != proto.StreamConfig {
		return
	}
	old := r.logState.Snapshot().Config
	r.logState.Apply(rec)
	if next := r.logState.Snapshot().Config; next.Revision > old.Revision {
		r.Oracle.NoteAccepted(next.Revision, now)
		r.Oracle.ConfigChanged(now, old, next)
		r.updateKeys(next)
	}
}

// updateKeys replaces the keys of accounts whose key is no longer in force.
func (r *Run) updateKeys(next *note.Config) {
	for _, hash := range slices.Sorted(maps.Keys(next.Keys)) {
		k := next.Keys[hash]
		if _, ok := next.Keys[r.keys[k.Account]]; !ok {
			r.keys[k.Account] = hash
		}
	}
}
