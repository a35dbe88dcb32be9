package audit

import (
	"fmt"
	"slices"
	"testing"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

func batches(t *testing.T, n, size int) []Batch {
	t.Helper()
	trail := NewTrail("r1-1", "r1")
	var out []Batch
	for i := range n {
		if err := trail.Add(proto.RequestEnded{Request: proto.RequestID(fmt.Sprint(i)), Account: "acme"}); err != nil {
			t.Fatal(err)
		}
		if (i+1)%size == 0 {
			out = append(out, nextBatch(t, trail))
		}
	}
	return out
}

func nextBatch(t *testing.T, trail *Trail) Batch {
	t.Helper()
	b, ok := trail.Next()
	if !ok {
		t.Fatal("no batch")
	}
	trail.Confirm()
	return b
}

// Guards against a verification that accepts a chain that was tampered with.
func TestVerifyFindsTampering(t *testing.T) {
	cases := []struct {
		name   string
		tamper func([]Batch) []Batch
		want   FaultKind
	}{
		{"intact", func(b []Batch) []Batch { return b }, ""},
		{"doubled batch", func(b []Batch) []Batch { return append(b, b[1]) }, ""},
		{"missing batch", func(b []Batch) []Batch { return append(b[:1:1], b[2:]...) }, FaultMissing},
		{"missing first batch", func(b []Batch) []Batch { return b[1:] }, FaultMissing},
		{"swapped batches", func(b []Batch) []Batch { b[1], b[2] = b[2], b[1]; return b }, FaultReordered},
		{"altered account", func(b []Batch) []Batch {
			r := *b[1].Entries[0].Request
			r.Account = "other"
			b[1].Entries[0].Request = &r
			return b
		}, FaultAltered},
		{"altered and hashed again", func(b []Batch) []Batch {
			e := b[1].Entries[0]
			r := *e.Request
			r.Account = "other"
			e.Request = &r
			e.Hash, _ = e.sum(b[1].Chain)
			b[1].Entries[0] = e
			return b
		}, FaultAltered},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			report := Verify(c.tamper(batches(t, 12, 3)), false)
			if c.want == "" {
				if !report.OK() || report.Entries != 12 {
					t.Errorf("report = %+v", report)
				}
				return
			}
			if report.OK() || report.Faults[0].Kind != c.want {
				t.Errorf("faults = %+v, want %s first", report.Faults, c.want)
			}
		})
	}
}

// Guards against requests that are dropped without being counted while the log
// is unavailable.
func TestTrailCountsWhatItDrops(t *testing.T) {
	trail := NewTrail("r1-1", "r1")
	for range maxPending + 7 {
		if err := trail.Add(proto.RequestEnded{}); err != nil {
			t.Fatal(err)
		}
	}
	var all []Batch
	all = append(all, nextBatch(t, trail))
	if err := trail.Add(proto.RequestEnded{Request: "late"}); err != nil {
		t.Fatal(err)
	}
	for !trail.Empty() {
		all = append(all, nextBatch(t, trail))
	}
	report := Verify(all, false)
	if !report.OK() || report.Dropped != 7 || report.Entries != maxPending+2 {
		t.Errorf("report = %+v", report)
	}
}

// Guards against the loss of a batch whose append fails.
func TestTrailRetriesABatch(t *testing.T) {
	trail := NewTrail("r1-1", "r1")
	if err := trail.Add(proto.RequestEnded{Request: "a"}); err != nil {
		t.Fatal(err)
	}
	first, _ := trail.Next()
	if _, ok := trail.Next(); ok {
		t.Error("Next returned a second batch while one was in flight")
	}
	trail.Retry()
	second, ok := trail.Next()
	if !ok || second.Entries[0].Hash != first.Entries[0].Hash {
		t.Errorf("after Retry: %+v, want the same entries", second)
	}
}

// Guards against a chain whose end is not marked or is marked before the last
// entry, so that verification does not detect a truncated chain.
func TestClosedChainEndsWithItsLastEntry(t *testing.T) {
	add := func(t *testing.T, trail *Trail) {
		t.Helper()
		if err := trail.Add(proto.RequestEnded{Request: "q"}); err != nil {
			t.Fatal(err)
		}
	}
	// Steps: a adds an entry, c closes the chain, n takes the next batch,
	// v confirms it, r retries it.
	for name, steps := range map[string]string{
		"entries wait":               "aacnv",
		"nothing waits":              "aanvcnv",
		"closed while a batch waits": "aancvnv",
		"end sent again":             "aanvcnrnv",
		"entry while the end waits":  "aanvcnavnv",
		"entry after the end":        "aanvcnvanv",
	} {
		t.Run(name, func(t *testing.T) {
			trail := NewTrail("life", "r1")
			var log []Batch
			for _, step := range steps {
				switch step {
				case 'a':
					add(t, trail)
				case 'c':
					if err := trail.Close(); err != nil {
						t.Fatal(err)
					}
				case 'n':
					b, ok := trail.Next()
					if !ok || trail.Empty() {
						t.Fatalf("no batch, or the trail is empty, after %d batches", len(log))
					}
					log = append(log, b)
				case 'v':
					trail.Confirm()
				case 'r':
					trail.Retry()
				}
			}
			if !trail.Empty() {
				t.Error("the trail is not empty at the end")
			}
			if r := Verify(log, false); !r.OK() || r.Closed != 1 {
				t.Errorf("%+v, want one closed chain", r)
			}
			cut := slices.DeleteFunc(slices.Clone(log), func(b Batch) bool { return len(b.Entries) > 0 && !b.Closed })
			if r := Verify(cut, false); len(cut) < len(log) && r.OK() {
				t.Errorf("without the batches before the end: %+v, want a fault", r)
			}
		})
	}
}
