package discovery_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

func endpoint(started int64) *discovery.Endpoint {
	return &discovery.Endpoint{ID: "e1", Started: started, Service: "s", Addr: "10.0.0.1:80", Domain: "a", Slots: 1}
}

const now = proto.Instant(time.Hour)

// Guards against sending work to an endpoint whose registration was removed while
// the registry was available.
func TestRemovalTakesEffectAtOnce(t *testing.T) {
	table := discovery.NewTable()
	table.Put(now, endpoint(1))
	if !table.Remove(now, "e1") || len(table.Snapshot().ForService("s")) != 0 {
		t.Fatal("the endpoint is still listed")
	}
}

// Guards against dropping all endpoints because their registrations expired during an
// outage of the registry: they have two seconds to register again.
func TestRemovalIsDelayedAfterOutage(t *testing.T) {
	table := discovery.NewTable()
	table.Put(now, endpoint(1))
	table.RegistryUnreachable(now)
	table.RegistryReachable(now.Add(time.Second))
	table.Remove(now.Add(time.Second), "e1")
	if len(table.Snapshot().ForService("s")) != 1 {
		t.Fatal("the endpoint was dropped at once")
	}
	table.ApplyDueChanges(now.Add(2900 * time.Millisecond))
	if len(table.Snapshot().ForService("s")) != 1 {
		t.Fatal("the endpoint was dropped before it had time to register again")
	}
	table.ApplyDueChanges(now.Add(3100 * time.Millisecond))
	if len(table.Snapshot().ForService("s")) != 0 {
		t.Fatal("the endpoint is still listed more than two seconds after the registry recovered")
	}
}

// Guards against keeping an endpoint that has gone because a late registration of
// an earlier incarnation cancelled its removal.
func TestEarlierIncarnationDoesNotCancelRemoval(t *testing.T) {
	table := discovery.NewTable()
	table.Put(now, endpoint(2))
	table.RegistryUnreachable(now)
	table.RegistryReachable(now)
	table.Remove(now, "e1")
	table.Put(now, endpoint(1))
	table.ApplyDueChanges(now.Add(time.Minute))
	if len(table.Snapshot().ForService("s")) != 0 {
		t.Fatal("the endpoint is still listed")
	}
}

// Guards against dropping an endpoint that registered again in time.
func TestRegistrationCancelsRemoval(t *testing.T) {
	table := discovery.NewTable()
	table.Put(now, endpoint(1))
	table.RegistryUnreachable(now)
	table.RegistryReachable(now)
	table.Remove(now, "e1")
	table.Put(now, endpoint(1))
	table.ApplyDueChanges(now.Add(time.Minute))
	if len(table.Snapshot().ForService("s")) != 1 {
		t.Fatal("the endpoint was dropped although it registered again")
	}
}

// Guards against a delayed registration of an earlier incarnation replacing that of
// the current one.
func TestEarlierIncarnationIsIgnored(t *testing.T) {
	table := discovery.NewTable()
	table.Put(now, endpoint(2))
	if table.Put(now, endpoint(1)) || table.Snapshot().ByID["e1"].Started != 2 {
		t.Fatal("the earlier incarnation replaced the later one")
	}
}

// Guards against keeping an endpoint whose removal was missed because the registry
// deleted records before they were read. The full listing that follows does not
// contain the endpoint.
func TestRemoveUnlisted(t *testing.T) {
	table := discovery.NewTable()
	table.Put(now, endpoint(1))
	if !table.RemoveUnlisted(now, map[proto.EndpointID]bool{}) || len(table.Snapshot().ByID) != 0 {
		t.Fatal("an endpoint that is not in the listing is still in the table")
	}
}

// Guards against work that grows with the square of the number of endpoints. When a
// full listing built a new snapshot for each endpoint, a router with 3,000 endpoints
// exceeded its start-up time limit.
func BenchmarkListing(b *testing.B) {
	const endpoints = 3000
	all := make([]*discovery.Endpoint, endpoints)
	for i := range all {
		all[i] = &discovery.Endpoint{ID: proto.EndpointID(fmt.Sprintf("e%04d", i)), Service: "s", Started: 1}
	}
	for b.Loop() {
		table := discovery.NewTable()
		for _, e := range all {
			table.Put(now, e)
		}
		if n := len(table.Snapshot().ForService("s")); n != endpoints {
			b.Fatalf("%d endpoints listed", n)
		}
	}
}

// Guards against building a snapshot for each registration, and against changing one
// that was returned before.
func TestSnapshotIsReusedUntilChange(t *testing.T) {
	table := discovery.NewTable()
	table.Put(now, endpoint(1))
	first := table.Snapshot()
	if table.Put(now, endpoint(1)) || table.Snapshot() != first {
		t.Error("a new snapshot although nothing has changed")
	}
	table.Remove(now, "e1")
	if len(first.ByID) != 1 || len(table.Snapshot().ByID) != 0 {
		t.Error("a returned snapshot has changed, or the new one has not")
	}
}

// Guards against sending work to an endpoint that has said that it leaves, because the
// registry was restored from an older copy in which it had not.
func TestLeavingIsNotTakenBack(t *testing.T) {
	for _, sequence := range []int64{0, 7} {
		table := discovery.NewTable()
		leaving, ready := endpoint(1), endpoint(1)
		leaving.Leaving, leaving.Sequence, ready.Sequence = true, sequence, sequence
		table.Put(now, leaving)
		if table.Put(now, ready); !table.Snapshot().ByID["e1"].Leaving {
			t.Errorf("sequence %d: the endpoint is ready again", sequence)
		}
		later := endpoint(1)
		later.Sequence = sequence + 1
		if table.Put(now, later); table.Snapshot().ByID["e1"].Leaving {
			t.Errorf("sequence %d: a later heartbeat does not count", sequence)
		}
		table.Put(now, leaving)
		next := endpoint(2)
		if table.Put(now, next); table.Snapshot().ByID["e1"].Leaving {
			t.Errorf("sequence %d: the next incarnation counts as leaving", sequence)
		}
	}
}

// Guards against the state of an older copy of the registry, such as the model versions
// that an engine had before it loaded new weights.
func TestEarlierHeartbeatIsIgnored(t *testing.T) {
	table := discovery.NewTable()
	current, earlier := endpoint(1), endpoint(1)
	current.Sequence, current.Versions = 5, map[string]int64{"m": 2}
	earlier.Sequence, earlier.Versions = 4, map[string]int64{"m": 1}
	table.Put(now, current)
	if table.Put(now, earlier) || table.Snapshot().ByID["e1"].Versions["m"] != 2 {
		t.Error("an earlier heartbeat replaced the current one")
	}
}

// Guards against sending work to an endpoint that has gone, because the registry was
// restored from an older copy that still has its registration. If the endpoint is alive,
// its heartbeats go on.
func TestRegistrationOfRemovedEndpointIsIgnored(t *testing.T) {
	table := discovery.NewTable()
	e := endpoint(1)
	e.Sequence = 5
	table.Put(now, e)
	table.Remove(now, "e1")
	if table.Put(now, e) || table.Put(now.Add(time.Minute), e) || len(table.Snapshot().ByID) != 0 {
		t.Error("the registration of a removed endpoint counts again")
	}
	alive := endpoint(1)
	alive.Sequence = 6
	if !table.Put(now, alive) || len(table.Snapshot().ByID) != 1 {
		t.Error("a later heartbeat does not count")
	}
	table.Remove(now, "e1")
	if !table.Put(now, endpoint(2)) || len(table.Snapshot().ByID) != 1 {
		t.Error("the next incarnation does not count")
	}
}

// Guards against losing an endpoint that lives: the registry has it again from an older
// copy, and shows no heartbeats that change nothing else.
func TestRegistrationThatIsKeptCounts(t *testing.T) {
	table := discovery.NewTable()
	e := endpoint(1)
	e.Sequence = 5
	table.Put(now, e)
	table.Remove(now, "e1")
	table.Put(now, e)
	if table.ApplyDueChanges(now.Add(5 * time.Second)) {
		t.Error("the endpoint counts before the registry would have removed it")
	}
	if !table.ApplyDueChanges(now.Add(11*time.Second)) || len(table.Snapshot().ByID) != 1 {
		t.Error("the endpoint does not count although the registry keeps it")
	}
}

// Guards against a memory that grows with each endpoint that has ever left.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	table := discovery.NewTable()
	e := endpoint(1)
	e.Sequence = 5
	table.Put(now, e)
	table.Remove(now, "e1")
	later := now.Add(time.Hour)
	table.ApplyDueChanges(later)
	if !table.Put(later, e) {
		t.Error("an endpoint that left an hour ago is still remembered")
	}
}

// Guards against the registration of an earlier incarnation that a restored registry has
// after the later one was removed.
func TestEarlierIncarnationOfRemovedEndpointIsIgnored(t *testing.T) {
	table := discovery.NewTable()
	table.Put(now, endpoint(2))
	table.Remove(now, "e1")
	if table.Put(now, endpoint(1)) || len(table.Snapshot().ByID) != 0 {
		t.Error("an earlier incarnation of a removed endpoint counts")
	}
}
