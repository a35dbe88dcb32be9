package capacity

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/kumquatsill/kumquatsill/core/configlog"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/drive"
	"github.com/kumquatsill/kumquatsill/proof/fleet"
	"github.com/kumquatsill/kumquatsill/standin/logsvc"
)

// FleetCost is what a fleet of complete routers appends to the log, and how long a
// note takes to reach all of them.
type FleetCost struct {
	// StartAppends is the number of appends to the config stream until every
	// router is ready, RenewalRate the appends per second to it afterwards,
	// without requests.
	StartAppends, RenewalRate float64
	// AuditAppendRate is the appends per second to the audit stream while each
	// router serves one request per second.
	AuditAppendRate float64
	// AppendsPerCall is the number of appends to the intent streams for each
	// call that must not be repeated.
	AppendsPerCall float64
	// RestartRecords is the number of records in the config stream, other than
	// lease renewals, for one router that crashes and is replaced.
	RestartRecords float64
	// NoteDelaySeconds is the longest time, of three notes, from submission
	// until the note is in force on every router.
	NoteDelaySeconds float64
}

const (
	fleetMeasureTime  = 20 * time.Second
	fleetCalls        = 20
	restartSettleTime = 75 * time.Second
)

func fleetNoteWithCalls() note.Note {
	n := fleetNote(Sizes{Endpoints: 4, Accounts: 5, Models: 1})
	n.Added.Endpoints = append(n.Added.Endpoints, note.Endpoint{
		ID: "orders-1", Kind: note.KindService, Domain: "domain-0", Addr: "10.1.9.1:8090", Service: "orders",
	})
	n.Added.Routes = []note.Route{{Method: "POST", Path: "/orders", Service: "orders"}}
	return n
}

func fleetDomains() []proto.Domain {
	return []proto.Domain{"domain-0", "domain-1", "domain-2", "domain-3"}
}

func startFleet(routers int, messageFault func(proto.Instant, proto.Envelope) drive.MessageFault) (*fleet.Fleet, error) {
	f := fleet.Start(fleet.Config{
		Drive:   drive.Config{Seed: 1, MessageFault: messageFault},
		Routers: routers,
		Domains: fleetDomains(),
		Note:    fleetNoteWithCalls(),
		Log:     logsvc.Config{AppendsPerSecond: 100_000},
	})
	if !f.WaitReady(1) {
		return nil, Error.New("not all of %d routers are ready after a minute", routers)
	}
	return f, nil
}

// MeasureFleet measures the log appends and the note delay of a fleet of real
// routers.
func MeasureFleet(routers int) (FleetCost, error) {
	f, err := startFleet(routers, nil)
	if err != nil {
		return FleetCost{}, err
	}
	var c FleetCost
	c.StartAppends = float64(f.Log.AppendCalls[proto.StreamConfig])
	f.Sim.Run(fleetMeasureTime)
	c.RenewalRate = float64(f.Log.AppendCalls[proto.StreamConfig]) - c.StartAppends
	c.RenewalRate /= fleetMeasureTime.Seconds()
	if c.NoteDelaySeconds, err = measureNotes(f); err != nil {
		return FleetCost{}, err
	}
	c.AuditAppendRate = measureAudit(f, routers)
	if c.AppendsPerCall, err = measureCalls(f, routers); err != nil {
		return FleetCost{}, err
	}
	c.RestartRecords, err = measureRestart(f, routers-1)
	return c, err
}

func measureRestart(f *fleet.Fleet, router int) (float64, error) {
	before := len(f.Log.Records(proto.StreamConfig))
	f.CrashRouter(router)
	f.StartRouter(router)
	f.Sim.Run(restartSettleTime)
	n := 0.0
	for _, r := range f.Log.Records(proto.StreamConfig)[before:] {
		var body configlog.Lease
		if r.Kind == configlog.KindLease {
			if err := json.Unmarshal(r.Body, &body); err != nil {
				return 0, Error.Wrap(err)
			}
		}
		if body.Action != configlog.LeaseRenew {
			n++
		}
	}
	return n, nil
}

func measureNotes(f *fleet.Fleet) (float64, error) {
	longest := 0.0
	for i := range 3 {
		n := note.Note{BasedOn: proto.Revision(i + 1)}
		n.Changed.Accounts = []note.Account{{ID: accountID(1), Rate: int64(100_000 + i), Burst: 1_000_000}}
		start := f.Sim.Now()
		f.Submit(0, proto.RecordID(fmt.Sprintf("note-%d", i)), n)
		if !f.Sim.RunUntil(10*time.Second, func() bool { return f.Ready(proto.Revision(i + 2)) }) {
			return 0, Error.New("a note is not in force on every router after 10 s")
		}
		longest = max(longest, f.Sim.Now().Sub(start).Seconds())
	}
	return longest, nil
}

func measureAudit(f *fleet.Fleet, routers int) float64 {
	before := f.Log.AppendCalls[proto.StreamAudit]
	for second := range int(fleetMeasureTime.Seconds()) {
		for i := range routers {
			f.Callers.Send(f.RouterAddr(i), fleetRequest(fmt.Sprintf("g-%d-%d", second, i), i))
		}
		f.Sim.Run(time.Second)
	}
	return float64(f.Log.AppendCalls[proto.StreamAudit]-before) / fleetMeasureTime.Seconds()
}

func fleetRequest(id string, account int) proto.CallerRequest {
	return proto.CallerRequest{
		ID: proto.RequestID(id), Key: keyHash(account % 5), Class: proto.ClassGenerate, Method: "POST", Path: "/v1/completions",
		Model: modelName(0), Stream: true, Body: []byte(`{"prompt":"hello"}`), MaxTokens: 2, PromptTokens: 100, Timeout: 30 * time.Second,
	}
}

func measureCalls(f *fleet.Fleet, routers int) (float64, error) {
	count := func() float64 {
		sum := 0
		for stream, n := range f.Log.AppendCalls {
			if strings.HasPrefix(stream, proto.StreamIntentPrefix) {
				sum += n
			}
		}
		return float64(sum)
	}
	before := count()
	var responses []*fleet.Response
	for i := range fleetCalls {
		id := fmt.Sprintf("c-%d", i)
		responses = append(responses, f.Callers.Send(f.RouterAddr(i%routers), proto.CallerRequest{
			ID: proto.RequestID(id), Key: keyHash(i % 5), Class: proto.ClassCall, Method: "POST", Path: "/orders",
			Body: []byte(`{"order":"` + id + `"}`), IdempotencyKey: id, Timeout: 30 * time.Second,
		}))
		f.Sim.Run(500 * time.Millisecond)
	}
	f.Sim.Run(10 * time.Second)
	for _, a := range responses {
		if a.Finish == nil {
			return 0, Error.New("a call got no complete response: refusal %+v", a.Refusal)
		}
	}
	return (count() - before) / fleetCalls, nil
}

// PartitionResult is the effect of a network partition between two regions, of
// which only the first can reach the log.
type PartitionResult struct {
	Routers int `json:"routers"`
	// Serving is the number of routers in the region without the log that still
	// admit keyed traffic when the partition has lasted for Seconds.
	Serving    int     `json:"serving"`
	RegionSize int     `json:"region_size"`
	Seconds    float64 `json:"seconds"`
	// SlotsBefore and SlotsAfter count the static slots that the config stream
	// assigns to routers of the region without the log, before the partition
	// and at its end.
	SlotsBefore int `json:"slots_before"`
	SlotsAfter  int `json:"slots_after"`
}

const partitionTime = 90 * time.Second

// MeasurePartition drops all messages between the domains 0 and 1, which can
// still reach the log, and the domains 2 and 3, which cannot.
func MeasurePartition(routers int) (PartitionResult, error) {
	partitioned := false
	region := map[proto.Addr]int{}
	messageFault := func(_ proto.Instant, e proto.Envelope) drive.MessageFault {
		return drive.MessageFault{Drop: partitioned && region[e.From] != region[e.To]}
	}
	f, err := startFleet(routers, messageFault)
	if err != nil {
		return PartitionResult{}, err
	}
	c := PartitionResult{Routers: routers, Seconds: partitionTime.Seconds()}
	withoutLog := map[proto.RouterID]bool{}
	for i := range routers {
		if i%len(fleetDomains()) >= 2 {
			region[f.RouterAddr(i)] = 1
			withoutLog[f.RouterID(i)] = true
			c.RegionSize++
		}
	}
	c.SlotsBefore = countSlots(f, withoutLog)
	partitioned = true
	f.Sim.Run(partitionTime)
	for i := range routers {
		if withoutLog[f.RouterID(i)] && f.Routers[i].Snapshot().FreshUntil > f.Sim.Now() {
			c.Serving++
		}
	}
	c.SlotsAfter = countSlots(f, withoutLog)
	return c, nil
}

// countSlots counts the static slots that the config stream assigns to the
// given routers.
func countSlots(f *fleet.Fleet, routers map[proto.RouterID]bool) int {
	state := configlog.NewState(nil)
	for _, r := range f.Log.Records(proto.StreamConfig) {
		state.Apply(r)
	}
	n := 0
	for id, r := range state.Snapshot().Routers {
		if routers[id] && r.Slot != configlog.NoSlot {
			n++
		}
	}
	return n
}
