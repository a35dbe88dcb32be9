package discovery_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/discovery"
)

// supersedeTime is longer than a registration of an earlier incarnation has to be the last
// one before it counts.
const supersedeTime = 11 * time.Second

// startedOf returns the start time of the listed endpoint, or 0.
func startedOf(table *discovery.Table) int64 {
	if e := table.Snapshot().ByID["e1"]; e != nil {
		return e.Started
	}
	return 0
}

// Guards against an endpoint that is shut out for good because another writer has left a
// registration with a later start time under its key.
func TestWrongStartTimeDoesNotLast(t *testing.T) {
	table := discovery.NewTable()
	table.Put(now, endpoint(2))
	table.Put(now, endpoint(9)) // by another writer
	table.Put(now, endpoint(2))
	table.ApplyDueChanges(now)
	if table.ApplyDueChanges(now.Add(time.Second)) || startedOf(table) != 9 {
		t.Error("a registration of an earlier incarnation counts at once")
	}
	if !table.ApplyDueChanges(now.Add(supersedeTime)) || startedOf(table) != 2 {
		t.Error("the endpoint itself is still shut out")
	}
}

// Guards against an earlier incarnation that takes the place of a later one: its
// registration was delayed, or nothing was read since.
func TestDelayedRegistrationDoesNotCount(t *testing.T) {
	leaving := endpoint(9)
	leaving.Leaving = true
	for name, prepare := range map[string]func(*discovery.Table){
		"followed by a heartbeat": func(table *discovery.Table) { table.Put(now, endpoint(9)) },
		"registry unreachable":    func(table *discovery.Table) { table.RegistryUnreachable(now) },
		"reachable just now": func(table *discovery.Table) {
			table.RegistryUnreachable(now)
			table.RegistryReachable(now.Add(supersedeTime - time.Second))
		},
		"leaving": func(table *discovery.Table) { table.Put(now, leaving); table.Put(now, endpoint(2)) },
	} {
		table := discovery.NewTable()
		table.Put(now, endpoint(9))
		table.Put(now, endpoint(2))
		prepare(table)
		table.ApplyDueChanges(now)
		table.ApplyDueChanges(now.Add(supersedeTime))
		if startedOf(table) != 9 {
			t.Errorf("%s: the earlier incarnation is listed", name)
		}
	}
	table := discovery.NewTable()
	table.Put(now, endpoint(9))
	table.Put(now, endpoint(2))
	table.Remove(now, "e1")
	table.ApplyDueChanges(now)
	if table.ApplyDueChanges(now.Add(supersedeTime)); startedOf(table) != 0 {
		t.Error("a removed endpoint is listed again")
	}
}
