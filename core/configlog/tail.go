package configlog

import (
	"encoding/json"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	maxTailRecords = 1024
	maxTailBytes   = 2 << 20
)

// tail keeps the latest records, for peers whose state is behind.
type tail struct {
	records []proto.Record
	bytes   int
}

func (t *tail) add(rec proto.Record) {
	if n := len(t.records); n > 0 {
		last := t.records[n-1].Offset
		if rec.Offset <= last {
			return // a buffered record that is applied again after a restore
		}
		if rec.Offset != last+1 {
			*t = tail{}
		}
	}
	t.records = append(t.records, rec)
	t.bytes += len(rec.Body)
	drop := 0
	for len(t.records)-drop > maxTailRecords || t.bytes > maxTailBytes {
		t.bytes -= len(t.records[drop].Body)
		drop++
	}
	if drop > 0 {
		t.records = slices.Delete(t.records, 0, drop)
	}
}

// RecordsSince returns the records from an offset on, for a StateReply. If they are
// no longer kept it returns the whole state in checkpoint records. These have the
// offset NoOffset, because they are not in the log.
func (s *State) RecordsSince(from proto.Offset, writer proto.RouterID) ([]proto.Record, error) {
	if from >= s.cur.ConfigOffset {
		return nil, nil
	}
	if kept := s.tail.records; len(kept) > 0 && kept[0].Offset <= from {
		return slices.Clone(kept[from-kept[0].Offset:]), nil
	}
	parts, err := s.Checkpoint(writer)
	if err != nil {
		return nil, err
	}
	records := make([]proto.Record, len(parts))
	for i, p := range parts {
		body, err := json.Marshal(p)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		records[i] = proto.Record{Kind: KindCheckpoint, Offset: NoOffset, Body: body}
	}
	return records, nil
}

// ApplyReply applies the records that a peer returned from RecordsSince. It fails on
// a checkpoint that cannot be restored.
func (s *State) ApplyReply(records []proto.Record) ([]Result, error) {
	var parts []Checkpoint
	var results []Result
	for _, rec := range records {
		if rec.Offset != NoOffset {
			results = append(results, s.Apply(rec))
			continue
		}
		var part Checkpoint
		if err := json.Unmarshal(rec.Body, &part); err != nil {
			return results, Error.Wrap(err)
		}
		parts = append(parts, part)
	}
	if len(parts) == 0 || s.cur.Complete && parts[0].AsOf <= s.cur.ConfigOffset {
		return results, nil
	}
	s.snapshot = nil
	return results, s.Restore(parts)
}
