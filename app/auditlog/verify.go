package auditlog

import (
	"context"
	"fmt"

	"github.com/kumquatsill/kumquatsill/core/audit"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// kindBadLine is the kind of a line that cannot be decoded.
	kindBadLine proto.RecordKind = "bad-line"
	// unknownOffset is the offset of such a line.
	unknownOffset proto.Offset = -1
)

// Fault is a fault in the records, as opposed to the chains inside them.
type Fault struct {
	Offset proto.Offset    `json:"offset"`
	Kind   audit.FaultKind `json:"kind"`
	Detail string          `json:"detail"`
}

// Report is the result of a verification.
type Report struct {
	Bounds  Bounds  `json:"bounds"`
	Records int     `json:"records"`
	Faults  []Fault `json:"faults"`
	// Chains is the result for the hash chains inside the records.
	Chains audit.Report `json:"chains"`
}

// OK reports whether no fault was found.
func (r Report) OK() bool { return len(r.Faults) == 0 && r.Chains.OK() }

// Verify checks the records of a source and the hash chains inside them.
func Verify(ctx context.Context, src Source) (Report, error) {
	b, err := src.Bounds(ctx)
	if err != nil {
		return Report{}, err
	}
	v := &verifier{report: Report{Bounds: b}, nextOffset: b.First, chains: audit.NewVerifier(b.First > 0)}
	err = src.Read(ctx, b, v.addRecord)
	if v.nextOffset < b.Head {
		v.addFault(v.nextOffset, audit.FaultMissing, fmt.Sprintf("offsets %d to %d are missing at the end", v.nextOffset, b.Head-1))
	}
	v.report.Chains = v.chains.Report()
	return v.report, err
}

// verifier checks records one by one. nextOffset is the offset expected next.
type verifier struct {
	report     Report
	nextOffset proto.Offset
	chains     *audit.Verifier
}

func (v *verifier) addFault(at proto.Offset, kind audit.FaultKind, detail string) {
	v.report.Faults = append(v.report.Faults, Fault{Offset: at, Kind: kind, Detail: detail})
}

func (v *verifier) addRecord(rec proto.Record) error {
	v.report.Records++
	if rec.Kind == kindBadLine && rec.Offset == unknownOffset {
		v.addFault(v.nextOffset, audit.FaultAltered, "the line does not decode: "+string(rec.Body))
		v.nextOffset++
		return nil
	}
	v.checkOffset(rec.Offset)
	var batch audit.Batch
	if rec.Kind != audit.KindBatch {
		v.addFault(rec.Offset, audit.FaultAltered, fmt.Sprintf("the record is of kind %q", rec.Kind))
	} else if err := strictDecode(rec.Body, &batch); err != nil {
		v.addFault(rec.Offset, audit.FaultAltered, "the batch does not decode: "+err.Error())
	} else {
		v.chains.Add(batch)
	}
	return nil
}

// checkOffset checks that a record follows the previous one, within the bounds.
func (v *verifier) checkOffset(at proto.Offset) {
	switch {
	case at < v.nextOffset:
		v.addFault(at, audit.FaultReordered, fmt.Sprintf("it comes where offset %d is due", v.nextOffset))
	case at >= v.report.Bounds.Head:
		v.addFault(at, audit.FaultAltered, fmt.Sprintf("it is beyond the head %d", v.report.Bounds.Head))
	case at > v.nextOffset:
		v.addFault(v.nextOffset, audit.FaultMissing, fmt.Sprintf("offsets %d to %d are missing", v.nextOffset, at-1))
	}
	v.nextOffset = max(v.nextOffset, at+1)
}
