package configlog_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/kumquatsill/kumquatsill/core/check"
	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"pgregory.net/rapid"
)

// Guards against competing notes, claims or registrations that both take effect,
// and against a record that takes effect twice because the log contains it twice.
func TestApply(t *testing.T) {
	s := configlog.NewState(nil)
	datadriven.RunTest(t, "testdata/apply", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			f := strings.SplitN(strings.TrimSpace(line), " ", 3)
			at := s.NextOffset()
			res := s.Apply(proto.Record{ID: proto.RecordID(f[0]), Kind: proto.RecordKind(f[1]), Offset: at, Body: json.RawMessage(f[2])})
			fmt.Fprintf(&out, "%d %s %s: %s\n", at, f[0], res.Outcome, res.Detail)
			if res.Note != nil {
				for _, e := range res.Note.Errors {
					fmt.Fprintf(&out, "   %s: %s\n", e.Field, e.Problem)
				}
			}
		}
		snap := s.Snapshot()
		l, _ := snap.Lease("p")
		fmt.Fprintf(&out, "revision %d lease %+v\nrouters %+v\n", snap.Revision, l, snap.Routers)
		return out.String()
	})
}

func record(id string, kind proto.RecordKind, at proto.Offset, body any) proto.Record {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return proto.Record{ID: proto.RecordID(id), Kind: kind, Offset: at, Body: data}
}

// view returns the part of a snapshot that must not depend on how the node obtained
// the state, as JSON.
func view(shared *configlog.Snapshot) string {
	snap := *shared
	snap.Checkpoint, snap.CheckpointRecord = 0, 0
	leases := map[string]configlog.LeaseState{}
	for name := range snap.Leases {
		leases[name], _ = snap.Lease(name)
	}
	snap.Leases = leases
	data, _ := json.Marshal([]any{snap.Config, snap.Revision, snap.ConfigOffset, snap.Complete, snap.Leases, snap.Routers,
		snap.LastRemoval, snap.History})
	return strings.ReplaceAll(string(data), `"routes":null`, `"routes":[]`)
}

// recordLog is a random config stream.
type recordLog []proto.Record

// draw returns a random next record, which may repeat the id of an earlier one.
func (l *recordLog) draw(t *rapid.T, s *configlog.State) proto.Record {
	at := proto.Offset(len(*l))
	if at > 0 && rapid.IntRange(0, 4).Draw(t, "duplicate") == 0 {
		rec := (*l)[rapid.IntRange(0, int(at)-1).Draw(t, "original")]
		rec.Offset = at
		return rec
	}
	router := proto.RouterID(rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "router"))
	id := fmt.Sprintf("%s.%d", router, at)
	lease, held := s.Snapshot().Lease("p")
	prior := lease.LastUpdate
	if !held {
		prior = configlog.NoOffset
	}
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0, 1:
		n := note.Note{BasedOn: s.Snapshot().Revision - proto.Revision(rapid.IntRange(0, 1).Draw(t, "behind"))}
		n.Added.Accounts = []note.Account{{ID: proto.AccountID(fmt.Sprint("a", at)), Rate: rapid.Int64Range(0, 3).Draw(t, "rate"), Burst: 9}}
		return record(id, configlog.KindReleaseNote, at, configlog.ReleaseNote{Note: n, Router: router})
	case 2:
		return record(id, configlog.KindLease, at, configlog.Lease{Action: configlog.LeaseClaim, Name: "p", Holder: router, Prior: prior, TTL: 1})
	case 3:
		action := rapid.SampledFrom([]configlog.LeaseAction{configlog.LeaseRelease, configlog.LeaseHandOver, configlog.LeaseRenew}).Draw(t, "action")
		return record(id, configlog.KindLease, at, configlog.Lease{Action: action, Name: "p", Holder: router, Fence: lease.Fence, To: "r1", Balance: 7})
	case 4:
		return record(id, configlog.KindLease, at, configlog.Lease{Action: configlog.LeaseRenew, Holder: router})
	case 5:
		addr := fmt.Sprintf("127.0.0.1:%d", rapid.IntRange(1, 3).Draw(t, "port"))
		return record(id, configlog.KindRegistration, at, configlog.Registration{Router: router, Addr: addr, Slot: rapid.IntRange(-1, 2).Draw(t, "slot")})
	}
	return record(id, kindExtra, at, int(at))
}

func newState(checks *check.Monitor) (*configlog.State, *extra) {
	s, e := configlog.NewState(checks), &extra{}
	s.SetExtension(e)
	return s, e
}

const kindExtra proto.RecordKind = "extra"

// extra is an extension that keeps the offsets of its records.
type extra struct{ Seen []proto.Offset }

func (e *extra) Owns(kind proto.RecordKind) bool  { return kind == kindExtra }
func (e *extra) Apply(rec proto.Record)           { e.Seen = append(e.Seen, rec.Offset) }
func (e *extra) Export() (json.RawMessage, error) { return json.Marshal(e) }
func (e *extra) Import(data json.RawMessage) error {
	*e = extra{}
	return json.Unmarshal(data, e)
}

// Guards against states that differ between a node that applied every record, one
// that restored a checkpoint because retention had removed earlier records, and one
// that caught up from a peer; against a snapshot that changes after it was returned;
// and against a revision that decreases.
func TestStateIsIndependentOfItsSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checks := &check.Monitor{}
		s, extras := newState(checks)
		var all recordLog
		var asOf, appended proto.Offset = -1, -1
		n := rapid.IntRange(2, 40).Draw(t, "records")
		cut := rapid.IntRange(0, n-1).Draw(t, "cut")
		var parts []configlog.Checkpoint
		for i := range n {
			rec := all.draw(t, s)
			if i == cut {
				var err error
				if parts, err = s.Checkpoint("r9"); err != nil {
					t.Fatal(err)
				}
				asOf = parts[0].AsOf
			}
			if i == min(cut+3, n-1) {
				appended = rec.Offset
				rec = record("r9.1", configlog.KindCheckpoint, rec.Offset, parts[0])
			}
			snap := s.Snapshot()
			before := view(snap)
			if res := s.Apply(rec); res.Outcome == configlog.Missing {
				t.Fatal(res)
			}
			if stale := s.Apply(rec); stale.Outcome != configlog.Stale {
				t.Fatalf("applied twice: %+v", stale)
			}
			if after := view(snap); after != before {
				t.Fatalf("the snapshot changed from %s to %s", before, after)
			}
			all = append(all, rec)
		}
		first := proto.Offset(rapid.IntRange(0, int(asOf)).Draw(t, "first retained"))
		late, lateExtras := newState(checks)
		late.Skip(first)
		for _, rec := range all[first:] {
			late.Apply(rec)
			if rec.Offset < appended && first > 0 && late.Snapshot().Complete {
				t.Fatal("complete without a checkpoint")
			}
		}
		peer, peerExtras := newState(checks)
		records, err := s.RecordsSince(peer.NextOffset(), "r1")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := peer.ApplyReply(records); err != nil {
			t.Fatal(err)
		}
		for name, other := range map[string]*configlog.State{"late": late, "peer": peer} {
			if view(other.Snapshot()) != view(s.Snapshot()) {
				t.Fatalf("%s:\n%s\nwant\n%s", name, view(other.Snapshot()), view(s.Snapshot()))
			}
			if other.Snapshot().Checkpoint != asOf {
				t.Fatalf("%s does not know the checkpoint", name)
			}
		}
		if !slices.Equal(lateExtras.Seen, extras.Seen) || !slices.Equal(peerExtras.Seen, extras.Seen) {
			t.Fatalf("extensions saw %v and %v, want %v", lateExtras.Seen, peerExtras.Seen, extras.Seen)
		}
		if checks.Counts(check.NoteMonotonic).Failed > 0 {
			t.Fatal("the revision decreased")
		}
	})
}

// newLargeState returns a state with the given number of accounts. Each account has
// a key and three leases, every second one an engine.
func newLargeState(tb testing.TB, accounts int) *configlog.State {
	s := configlog.NewState(nil)
	var n note.Note
	n.Added.Models = []note.Model{{Name: "m", Version: "1"}}
	for i := range accounts {
		id := proto.AccountID(fmt.Sprint("account-", i))
		n.Added.Accounts = append(n.Added.Accounts, note.Account{ID: id, Rate: 100, Burst: 1000})
		n.Added.Keys = append(n.Added.Keys, note.Key{Hash: note.HashKey(string(id)), Account: id})
		if i%2 == 0 {
			n.Added.Endpoints = append(n.Added.Endpoints, note.Endpoint{ID: proto.EndpointID(fmt.Sprint("engine-", i)), Kind: note.KindEngine,
				Domain: "a", Addr: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Models: []string{"m"}})
		}
	}
	rec := record("n.1", configlog.KindReleaseNote, 0, configlog.ReleaseNote{Note: n})
	if res := s.Apply(rec); res.Outcome != configlog.Applied {
		tb.Fatal(res)
	}
	for i := range 3 * accounts {
		l := configlog.Lease{Action: configlog.LeaseClaim, Name: fmt.Sprint("part/", i), Holder: "r1", Prior: configlog.NoOffset, TTL: time.Second}
		s.Apply(record(fmt.Sprint("l.", i+1), configlog.KindLease, s.NextOffset(), l))
	}
	return s
}

// Guards against a large state that its parts do not restore, against mixing the
// parts of two checkpoints, and against restoring a checkpoint that is damaged, older
// than the state or followed by missing records.
func TestCheckpointParts(t *testing.T) {
	s := newLargeState(t, 12000)
	parts, err := s.Checkpoint("r1")
	if err != nil || len(parts) < 2 {
		t.Fatal(len(parts), err)
	}
	fresh := func() *configlog.State {
		f := configlog.NewState(nil)
		f.Skip(s.NextOffset())
		return f
	}
	at := s.NextOffset()
	one, other := fresh(), parts[0]
	other.Writer = "r2"
	for i, p := range slices.Concat([]configlog.Checkpoint{other}, parts[:1], parts) {
		one.Apply(record(fmt.Sprint("c.", i+1), configlog.KindCheckpoint, at+proto.Offset(i), p))
	}
	if !one.Snapshot().Complete || !reflect.DeepEqual(one.Snapshot().Config, s.Snapshot().Config) {
		t.Error("the parts were not restored")
	}
	if err := one.Restore(parts); err == nil {
		t.Error("the state went backwards")
	}
	damaged := slices.Clone(parts)
	damaged[1].Data = slices.Clone(damaged[1].Data)
	damaged[1].Data[9]++
	if fresh().Restore(damaged) == nil || fresh().Restore(parts[1:]) == nil || fresh().Restore(nil) == nil {
		t.Error("a damaged checkpoint was restored")
	}
	early := configlog.NewState(nil)
	early.Skip(at + 5)
	if early.Restore(parts) == nil {
		t.Error("a checkpoint was restored although records after it are missing")
	}
}

// Guards against a log whose retention removes the last checkpoint before the next
// one is appended, and against many checkpoints at once when all nodes start together.
func TestCheckpointerOfManyNodes(t *testing.T) {
	const nodes = 100
	s := newLargeState(t, 5)
	var timers []*configlog.Checkpointer
	for i := range nodes {
		timers = append(timers, configlog.NewCheckpointer(time.Hour, 1_000_000, uint64(i)))
	}
	written := 0
	var last proto.Instant
	hour := proto.Instant(time.Hour)
	for now := proto.Instant(0); now < 10*hour; now = now.Add(5 * time.Second) {
		for i, c := range timers {
			snap := s.Snapshot()
			if !c.Due(now, snap) {
				continue
			}
			c.Appended(now, snap)
			parts, err := s.Checkpoint("r1")
			if err != nil {
				t.Fatal(err)
			}
			s.Apply(record(fmt.Sprintf("i%d.%d", i, s.NextOffset()), configlog.KindCheckpoint, s.NextOffset(), parts[0]))
			if now.Sub(last) > 15*time.Minute {
				t.Errorf("%v without a checkpoint", now.Sub(last))
			}
			last = now
			written++
		}
	}
	if written < 40 || written > 52 {
		t.Errorf("%d checkpoints in 40 quarters of the retention", written)
	}
}

func BenchmarkApply(b *testing.B) {
	for _, accounts := range []int{5, 120, 1200} {
		s := newLargeState(b, accounts)
		i := 0
		b.Run(fmt.Sprintf("renew/%d", accounts), func(b *testing.B) {
			for b.Loop() {
				i++
				s.Apply(record(fmt.Sprint("r.", i), configlog.KindLease, s.NextOffset(), configlog.Lease{Action: configlog.LeaseRenew, Holder: "r1"}))
				s.Snapshot()
			}
		})
		b.Run(fmt.Sprintf("note/%d", accounts), func(b *testing.B) {
			for b.Loop() {
				i++
				n := note.Note{BasedOn: s.Snapshot().Revision}
				n.Changed.Accounts = []note.Account{{ID: "account-1", Rate: int64(i), Burst: int64(i)}}
				s.Apply(record(fmt.Sprint("r.", i), configlog.KindReleaseNote, s.NextOffset(), configlog.ReleaseNote{Note: n}))
				s.Snapshot()
			}
		})
	}
}

func BenchmarkCheckpoint(b *testing.B) {
	for _, accounts := range []int{5, 120, 1200} {
		s := newLargeState(b, accounts)
		parts, _ := s.Checkpoint("r1")
		size := 0
		for _, p := range parts {
			size += len(p.Data)
		}
		b.Run(fmt.Sprintf("encode/%d", accounts), func(b *testing.B) {
			for b.Loop() {
				if _, err := s.Checkpoint("r1"); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes")
			b.ReportMetric(float64(len(parts)), "parts")
		})
		b.Run(fmt.Sprintf("restore/%d", accounts), func(b *testing.B) {
			for b.Loop() {
				if err := configlog.NewState(nil).Restore(parts); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Guards against a static slot with two owners after a checkpoint was restored.
func TestSlotStaysTakenAfterRestore(t *testing.T) {
	s := configlog.NewState(nil)
	s.Apply(record("a.1", configlog.KindRegistration, 0, configlog.Registration{Router: "r1", Addr: "127.0.0.1:1", Slot: 3}))
	parts, err := s.Checkpoint("r1")
	if err != nil {
		t.Fatal(err)
	}
	late := configlog.NewState(nil)
	if err := late.Restore(parts); err != nil {
		t.Fatal(err)
	}
	late.Apply(record("b.1", configlog.KindRegistration, 1, configlog.Registration{Router: "r2", Addr: "127.0.0.1:2", Slot: 3}))
	if got := late.Snapshot().Routers["r2"].Slot; got != configlog.NoSlot {
		t.Errorf("slot %d has two owners", got)
	}
}

// Guards against a log without a checkpoint because all nodes keep restarting
// together before one is due.
func TestCheckpointWithRepeatedRestarts(t *testing.T) {
	s := newLargeState(t, 5)
	last, worst := proto.Instant(0), time.Duration(0)
	var timers []*configlog.Checkpointer
	for now := proto.Instant(0); now < proto.Instant(24*time.Hour); now = now.Add(10 * time.Second) {
		if now%proto.Instant(10*time.Minute) == 0 {
			timers = nil
			for i := range 3 {
				timers = append(timers, configlog.NewCheckpointer(time.Hour, 1_000_000, uint64(now)+uint64(i)))
			}
		}
		for _, c := range timers {
			if c.Due(now, s.Snapshot()) {
				c.Appended(now, s.Snapshot())
				parts, _ := s.Checkpoint("r1")
				s.Apply(record(fmt.Sprint("x.", s.NextOffset()), configlog.KindCheckpoint, s.NextOffset(), parts[0]))
				worst = max(worst, now.Sub(last))
				last = now
			}
		}
	}
	if worst == 0 || worst > 30*time.Minute {
		t.Errorf("%v without a checkpoint, with a retention of one hour", worst)
	}
}
