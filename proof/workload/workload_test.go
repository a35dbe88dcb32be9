package workload_test

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/workload"
)

func arrivalsOf(d workload.Deployment, cfg workload.Config) []workload.Arrival {
	g := workload.New(d, cfg)
	var arrivals []workload.Arrival
	for {
		a, ok := g.Next()
		if !ok {
			return arrivals
		}
		arrivals = append(arrivals, a)
	}
}

// Guards against example release notes that fail validation or lack an endpoint
// of the deployment.
func TestNotes(t *testing.T) {
	for _, d := range workload.Deployments() {
		if err := note.Validate(note.Empty(), d.Note()); err != nil {
			t.Errorf("%s: %v", d.Name, err)
		}
		if got := len(d.Note().Added.Endpoints); got != d.Engines+d.Services {
			t.Errorf("%s: %d endpoints", d.Name, got)
		}
	}
}

// Guards against a workload that differs between two runs of a seed, is out of
// order, or deviates from the configured rates, shares and prefix sharing.
func TestGenerator(t *testing.T) {
	const duration = 200 * time.Second
	for _, d := range workload.Deployments() {
		cfg := workload.Config{Seed: 1, Duration: duration}
		arrivals := arrivalsOf(d, cfg)
		if !reflect.DeepEqual(arrivals, arrivalsOf(d, cfg)) {
			t.Errorf("%s: two runs of one seed differ", d.Name)
		}
		cost := map[proto.AccountID]int64{}
		orders, calls, shared := 0, 0, 0
		prefixes := map[uint64]bool{}
		for i, a := range arrivals {
			if i > 0 && a.At < arrivals[i-1].At {
				t.Fatalf("%s: arrivals out of order", d.Name)
			}
			cost[a.Account] += a.Cost
			if a.Request.Class == proto.ClassCall {
				calls++
				if a.Request.IdempotencyKey != "" {
					orders++
				}
				continue
			}
			last := a.Request.Pieces[len(a.Request.Pieces)-2]
			if prefixes[last] {
				shared++
			}
			for _, p := range a.Request.Pieces {
				prefixes[p] = true
			}
		}
		checkWithin(t, d.Name+" requests/s", float64(len(arrivals))/duration.Seconds(), d.Traffic.Rate, 0.1)
		checkWithin(t, d.Name+" calls", float64(calls)/float64(len(arrivals)), d.Traffic.CallShare, 0.15)
		checkWithin(t, d.Name+" orders", float64(orders)/float64(calls), d.Traffic.OrderShare, 0.2)
		if share := float64(shared) / float64(len(arrivals)-calls); share < 0.5 {
			t.Errorf("%s: only %.2f of the prompts repeat all but the last block", d.Name, share)
		}
		for _, a := range d.Accounts {
			if mean := float64(cost[a.ID]) / duration.Seconds(); mean > float64(a.Rate) {
				t.Errorf("%s: account %s demands %.0f tokens/s, above its rate %d", d.Name, a.ID, mean, a.Rate)
			}
		}
	}
}

func checkWithin(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if got < want*(1-tolerance) || got > want*(1+tolerance) {
		t.Errorf("%s: %.3f, want %.3f", what, got, want)
	}
}

// Guards against a flood that is not the configured multiple of the rate limit.
func TestFlood(t *testing.T) {
	d := workload.Pompas()
	a := d.Accounts[2]
	cfg := workload.Config{Seed: 1, Duration: 100 * time.Second, Flood: a.ID, FloodFactor: 5, FloodFrom: 20 * time.Second}
	var cost int64
	for _, arrival := range arrivalsOf(d, cfg) {
		if arrival.Account == a.ID && arrival.At >= cfg.FloodFrom {
			cost += arrival.Cost
		}
	}
	checkWithin(t, "tokens/s of the flooding account", float64(cost)/80, 5*float64(a.Rate), 0.15)
}

// Guards against prompt texts that do not share the prefixes that their pieces
// share.
func TestPrompt(t *testing.T) {
	arrivals := arrivalsOf(workload.Karoo(), workload.Config{Seed: 1, Duration: 5 * time.Second})
	prompts := make([]string, len(arrivals))
	for i, a := range arrivals {
		prompts[i] = a.Prompt()
	}
	for i, a := range arrivals {
		for j, b := range arrivals {
			common := 0
			for common < min(len(a.Request.Pieces), len(b.Request.Pieces)) && a.Request.Pieces[common] == b.Request.Pieces[common] {
				common++
			}
			const pieceBytes = 2048 * 4
			if common > 0 && !strings.HasPrefix(prompts[j], prompts[i][:common*pieceBytes]) {
				t.Fatalf("%s and %s share %d pieces, but not their text", a.Request.ID, b.Request.ID, common)
			}
		}
	}
}
