package auditlog_test

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/kumquatsill/kumquatsill/app/auditlog"
	"github.com/kumquatsill/kumquatsill/core/audit"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// memorySource is a Source of batches held in memory.
type memorySource struct{ records []proto.Record }

func (m *memorySource) add(t testing.TB, batch audit.Batch) {
	t.Helper()
	body, err := json.Marshal(batch)
	if err != nil {
		t.Fatal(err)
	}
	m.records = append(m.records, proto.Record{Kind: audit.KindBatch, Offset: proto.Offset(len(m.records)), Body: body})
}

func (m *memorySource) Bounds(context.Context) (auditlog.Bounds, error) {
	return auditlog.Bounds{Head: proto.Offset(len(m.records))}, nil
}

func (m *memorySource) Read(_ context.Context, _ auditlog.Bounds, record func(proto.Record) error) error {
	for _, rec := range m.records {
		if err := record(rec); err != nil {
			return err
		}
	}
	return nil
}
