package auditlog

import (
	"context"
	"fmt"

	"github.com/kumquatsill/kumquatsill/core/audit"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// badLine is the kind of a line that does not decode.
	badLine proto.RecordKind = "bad-line"
	// unknownOffset is the offset of such a line.
	unknownOffset proto.Offset = -1
)

// Fault is one thing wrong with the records that hold the chains.
type Fault struct {
	Offset proto.Offset    `json:"offset"`
	Kind   audit.FaultKind `json:"kind"`
	Detail string          `json:"detail"`
}

// Report is the outcome of a verification.
type Report struct {
	Bounds  Bounds  `json:"bounds"`
	Records int     `json:"records"`
	Faults  []Fault `json:"faults"`
	// Chains is the outcome for the chains inside the records.
	Chains audit.Report `json:"chains"`
}

// OK reports whether no fault was found.
func (r Report) OK() bool { return len(r.Faults) == 0 && r.Chains.OK() }

// Verify checks the records of a source and the chains inside them.
func Verify(ctx context.Context, src Source) (Report, error) {
	b, err := src.Bounds(ctx)
	if err != nil {
		return Report{}, err
	}
	v := &verifier{report: Report{Bounds: b}, next: b.First, chains: audit.NewVerifier(b.First > 0)}
	err = src.Read(ctx, b, v.record)
	if v.next < b.Head {
		v.fault(v.next, audit.FaultMissing, fmt.Sprintf("offsets %d to %d are missing at the end", v.next, b.Head-1))
	}
	v.report.Chains = v.chains.Report()
	return v.report, err
}

type verifier struct {
	report Report
	next   proto.Offset
	chains *audit.Verifier
}

func (v *verifier) fault(at proto.Offset, kind audit.FaultKind, detail string) {
	v.report.Faults = append(v.report.Faults, Fault{Offset: at, Kind: kind, Detail: detail})
}

func (v *verifier) record(rec proto.Record) error {
	v.report.Records++
	if rec.Kind == badLine && rec.Offset == unknownOffset {
		v.fault(v.next, audit.FaultAltered, "the line does not decode: "+string(rec.Body))
		v.next++
		return nil
	}
	v.position(rec.Offset)
	var batch audit.Batch
	if rec.Kind != audit.KindBatch {
		v.fault(rec.Offset, audit.FaultAltered, fmt.Sprintf("the record is of kind %q", rec.Kind))
	} else if err := strictDecode(rec.Body, &batch); err != nil {
		v.fault(rec.Offset, audit.FaultAltered, "the batch does not decode: "+err.Error())
	} else {
		v.chains.Add(batch)
	}
	return nil
}

func (v *verifier) position(at proto.Offset) {
	switch {
	case at < v.next:
		v.fault(at, audit.FaultReordered, fmt.Sprintf("it comes where offset %d is due", v.next))
	case at >= v.report.Bounds.Head:
		v.fault(at, audit.FaultAltered, fmt.Sprintf("it is beyond the head %d", v.report.Bounds.Head))
	case at > v.next:
		v.fault(v.next, audit.FaultMissing, fmt.Sprintf("offsets %d to %d are missing", v.next, at-1))
	}
	v.next = max(v.next, at+1)
}
