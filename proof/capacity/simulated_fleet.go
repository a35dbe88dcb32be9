package capacity

import (
	"fmt"
	"time"

	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/lease"
	"github.com/kumquatsill/kumquatsill/core/limit"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/logsvc"
)

// seed fills the config stream with the note of the fleet and the registrations
// and leases of the other routers.
func (a *simulatedFleet) seed(service *logsvc.Service) {
	seed := func(from proto.RouterID, kind proto.RecordKind, body any) {
		service.Seed(proto.StreamConfig, a.newRecord(from, kind, body))
	}
	seed(peerID(0), configlog.KindReleaseNote, configlog.ReleaseNote{Note: fleetNote(a.sizes)})
	for i := range a.sizes.Routers - 1 {
		slot := i
		if slot >= note.DefaultPolicy().StaticSlots {
			slot = configlog.NoSlot
		}
		seed(peerID(i), configlog.KindRegistration, configlog.Registration{
			Router: peerID(i), Addr: fmt.Sprintf("10.2.%d.%d:80", i/250, i%250+1), Domain: proto.Domain(fmt.Sprintf("domain-%d", i%4)), Slot: slot,
		})
	}
	for i, name := range a.leaseNames() {
		seed(a.leaseHolder(i), configlog.KindLease, configlog.Lease{
			Action: configlog.LeaseClaim, Name: name, Holder: a.leaseHolder(i), Prior: configlog.NoOffset, TTL: lease.DefaultTTL,
		})
	}
}

func (a *simulatedFleet) leaseNames() []string {
	names := []string{"rollout"}
	for g := range limit.Groups {
		for p := range limit.Parts {
			names = append(names, fmt.Sprintf("bucket/%d/%d", g, p))
		}
	}
	return names
}

// leaseHolder returns the holder of the lease with the given index. It spreads
// the leases over the other routers.
func (a *simulatedFleet) leaseHolder(i int) proto.RouterID {
	return peerID(i * 7 % (a.sizes.Routers - 1))
}

func (a *simulatedFleet) startBucketHolders() {
	accounts := map[proto.AccountID]note.Account{}
	for i := range a.sizes.Accounts {
		accounts[accountID(i)] = note.Account{ID: accountID(i), Rate: 100_000, Burst: 1_000_000}
	}
	for g := range limit.Groups {
		for p := range limit.Parts {
			l := limit.Lease{Group: g, Part: p}
			a.holders[l] = limit.NewHolder(a.leaseHolder(1+g*limit.Parts+p), l, staticLease{})
			a.holders[l].SetAccounts(0, accounts)
			a.holders[l].Tick(0)
		}
	}
}

// repeat calls f after the delay and then at the given interval until the end
// of the run.
func (a *simulatedFleet) repeat(after, interval time.Duration, f func()) {
	a.sim.After(after, func() {
		f()
		a.repeat(interval, interval, f)
	})
}

// startRenewals renews the leases. A holder of several leases renews them with
// one record.
func (a *simulatedFleet) startRenewals() {
	holders := map[proto.RouterID]bool{}
	for i := range a.leaseNames() {
		holder := a.leaseHolder(i)
		if holders[holder] {
			continue
		}
		holders[holder] = true
		a.repeat(time.Duration(i+1)*renewalInterval/26, renewalInterval, func() {
			a.append(holder, configlog.KindLease, configlog.Lease{Action: configlog.LeaseRenew, Holder: holder, TTL: lease.DefaultTTL})
		})
	}
}

func (a *simulatedFleet) startHeartbeats() {
	for i := range min(heartbeatPeers, a.sizes.Routers-1) {
		call := uint64(0)
		a.repeat(time.Duration(i)*heartbeatInterval/heartbeatPeers, heartbeatInterval, func() {
			call++
			a.sim.Inject(proto.Envelope{
				From: proto.RouterAddr(peerID(i)), To: proto.RouterAddr("router-under-test"), Msg: a.heartbeat(peerID(i), call),
			})
		})
	}
}

// startRequests sends requests at the request rate. The share of an account is
// proportional to 1/rank.
func (a *simulatedFleet) startRequests() {
	weights := make([]float64, a.sizes.Accounts)
	var sum float64
	for i := range weights {
		weights[i] = 1 / float64(i+1)
		sum += weights[i]
	}
	rng := a.sim.Rand()
	n := 0
	a.repeat(0, time.Duration(float64(time.Second)/a.sizes.RequestRate), func() {
		n++
		x, account := rng.Float64()*sum, 0
		for x -= weights[0]; x > 0 && account < len(weights)-1; x -= weights[account] {
			account++
		}
		a.sendRequest(n, account)
	})
}

func (a *simulatedFleet) sendRequest(n, account int) {
	id := proto.RequestID(fmt.Sprintf("request-under-test-%06d", n))
	family := uint64(account*16 + n%4)
	a.sim.Inject(proto.Envelope{From: proto.CallerAddr(id), To: proto.RouterAddr("router-under-test"), Msg: proto.CallerRequest{
		ID: id, Key: keyHash(account), Class: proto.ClassGenerate, Method: "POST", Path: "/v1/completions",
		Model: modelName(account % a.sizes.Models), Stream: true, Body: []byte(`{"prompt":"hello"}`),
		MaxTokens: 256, PromptTokens: 8100, Pieces: []uint64{family, family + 1, family + 2, uint64(n)}, Timeout: 30 * time.Second,
	}})
}
