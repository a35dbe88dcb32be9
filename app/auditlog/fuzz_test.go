package auditlog_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/kumquatsill/kumquatsill/app/auditlog"
	"github.com/kumquatsill/kumquatsill/core/audit"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Guards against a file that makes the verification panic, or that passes it
// with another number of records than its header states.
func FuzzVerify(f *testing.F) {
	trail := audit.NewTrail("life", "r1")
	if err := trail.Add(proto.RequestEnded{Request: "q1", Verdict: proto.Ran}); err != nil {
		f.Fatal(err)
	}
	batch, _ := trail.Next()
	src := &memorySource{}
	src.add(f, batch)
	var valid bytes.Buffer
	if _, err := auditlog.Export(f.Context(), src, &valid); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.String())
	f.Add(strings.Replace(valid.String(), `"head":1`, `"head":2`, 1))
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		report, err := auditlog.Verify(t.Context(), auditlog.NewFile(strings.NewReader(text)))
		if err != nil || !report.OK() {
			if text == valid.String() {
				t.Errorf("a sound export: %+v, %v", report, err)
			}
			return
		}
		if want := report.Bounds.Head - report.Bounds.First; want > 0 && proto.Offset(report.Records) != want {
			t.Errorf("%d records pass, the header announces %d", report.Records, want)
		}
	})
}
