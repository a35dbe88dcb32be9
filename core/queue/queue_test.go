package queue

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"pgregory.net/rapid"
)

// Runs the scripts in testdata. They guard against items served out of order,
// items that run at the same time as one that must run alone, and items that
// disappear without being served, canceled, evicted or expired.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		q := New(Config{Quantum: 100, MaxItems: 4, MaxStarvation: 2 * time.Second})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				runLine(t, q, strings.Fields(line), &out)
			}
			return out.String()
		})
	})
}

func runLine(t *testing.T, q *Queue, f []string, out *strings.Builder) {
	now := proto.Instant(parseInt(t, f[0])) * proto.Instant(time.Millisecond)
	switch f[1] {
	case "push":
		item := Item{Attempt: proto.AttemptID(f[2]), Account: proto.AccountID(f[2][:1])}
		for _, arg := range f[3:] {
			key, value, _ := strings.Cut(arg, "=")
			switch key {
			case "tokens":
				item.Tokens = parseInt(t, value)
			case "priority":
				item.Priority = int(parseInt(t, value))
			case "weight":
				item.Weight = parseInt(t, value)
			case "deadline":
				item.Deadline = proto.Instant(parseInt(t, value)) * proto.Instant(time.Millisecond)
			case "alone":
				item.Alone = true
			default:
				t.Fatalf("unknown argument %q", arg)
			}
		}
		evicted, cause := q.Push(now, item)
		for _, e := range evicted {
			fmt.Fprintf(out, "evicted %s\n", e.Attempt)
		}
		if cause != "" {
			fmt.Fprintf(out, "%s refused: %s\n", f[2], cause)
		}
	case "next":
		item, ok := q.Next(now)
		if !ok {
			fmt.Fprintln(out, "nothing")
			return
		}
		fmt.Fprintln(out, item.Attempt)
	case "done":
		q.Done(proto.AttemptID(f[2]))
	case "cancel":
		_, ok := q.Cancel(proto.AttemptID(f[2]))
		fmt.Fprintln(out, "canceled", ok)
	case "expired":
		for _, item := range q.TakeExpired(now) {
			fmt.Fprintf(out, "expired %s\n", item.Attempt)
		}
	default:
		t.Fatalf("unknown command %q", f[1])
	}
}

func parseInt(t *testing.T, s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against items that are lost, served twice or served after their
// deadline, and against totals that no longer match the items.
func TestItemsLeaveOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{MaxItems: 8})
		open := map[proto.AttemptID]bool{}
		var running []proto.AttemptID
		removeOpen := func(id proto.AttemptID) {
			if !open[id] {
				t.Fatalf("%s left the queue twice", id)
			}
			delete(open, id)
		}
		now := proto.Instant(0)
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0, 1:
				item := Item{
					Attempt:  proto.AttemptID(fmt.Sprint(i)),
					Account:  proto.AccountID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")),
					Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					Tokens:   rapid.Int64Range(0, 50_000).Draw(t, "tokens"),
					Alone:    rapid.IntRange(0, 5).Draw(t, "alone") == 0,
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "deadline")) * time.Millisecond),
				}
				evicted, cause := q.Push(now, item)
				if cause == "" {
					open[item.Attempt] = true
				}
				for _, e := range evicted {
					removeOpen(e.Attempt)
				}
			case 2, 3:
				item, ok := q.Next(now)
				if !ok {
					break
				}
				removeOpen(item.Attempt)
				if now >= item.Deadline {
					t.Fatalf("%s served after its deadline", item.Attempt)
				}
				if item.Alone && len(running) > 0 {
					t.Fatalf("%s must run alone but started while %v was running", item.Attempt, running)
				}
				running = append(running, item.Attempt)
			case 4:
				if len(running) > 0 {
					q.Done(running[0])
					running = running[1:]
				}
			}
			for _, item := range q.TakeExpired(now) {
				removeOpen(item.Attempt)
			}
			if q.Len() != len(open) || q.Running() != len(running) || (q.Len() == 0) != (q.Tokens() == 0) {
				t.Fatalf("waiting %d, want %d; running %d, want %d; %d tokens", q.Len(), len(open), q.Running(), len(running), q.Tokens())
			}
		}
	})
}

// Guards against an account that sends several times its share, in larger items,
// delaying the others, and against weights that have no effect.
func TestFairShares(t *testing.T) {
	q := New(Config{MaxItems: 10_000})
	weights := map[proto.AccountID]int64{"flood": 1, "small": 1, "double": 2}
	for i := range 1000 {
		for account, weight := range weights {
			tokens := int64(2000)
			if account == "flood" {
				tokens = 30_000
			}
			id := proto.AttemptID(fmt.Sprintf("%s%d", account, i))
			if _, cause := q.Push(0, Item{Attempt: id, Account: account, Weight: weight, Tokens: tokens}); cause != "" {
				t.Fatal(cause)
			}
		}
	}
	served := map[proto.AccountID]int64{}
	for total := int64(0); total < 3_000_000; {
		item, _ := q.Next(0)
		served[item.Account] += item.Tokens
		total += item.Tokens
	}
	for account, weight := range weights {
		share := float64(served[account]) / float64(weight) / 750_000
		if share < 0.95 || share > 1.05 {
			t.Errorf("%s got %d tokens, %.2f of its share", account, served[account], share)
		}
	}
}
