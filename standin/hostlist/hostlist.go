// Package hostlist simulates the platform's host list, which lags behind the real
// state, for tests and development.
package hostlist

import (
	"slices"
	"strings"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/faultqueue"
)

// Config holds the subscribers and the delays of the host list.
type Config struct {
	Seed   uint64
	Faults faultqueue.Faults
	// PublishDelay is the time from a change to its appearance in the list.
	PublishDelay time.Duration
	// PublishInterval is the time between two publications; 0 means 1 s.
	PublishInterval time.Duration
	Subscribers     []proto.Addr
}

// change is an update of a host that is listed from the time at on.
type change struct {
	at     proto.Instant
	host   proto.HostState
	remove bool
}

// List simulates the host list. It implements proto.Machine.
type List struct {
	cfg         Config
	out         *faultqueue.Queue
	now         proto.Instant
	nextPublish proto.Instant
	hosts       map[string]proto.HostState
	changes     []change
}

// New returns an empty list.
func New(cfg Config) *List {
	if cfg.PublishInterval == 0 {
		cfg.PublishInterval = time.Second
	}
	self := proto.Addr{Role: proto.RoleHosts}
	return &List{cfg: cfg, out: faultqueue.New(self, cfg.Seed, cfg.Faults), hosts: map[string]proto.HostState{}}
}

// Queue returns the send queue, which injects the faults of publications.
func (l *List) Queue() *faultqueue.Queue { return l.out }

// Set adds or updates a host. The change is listed after PublishDelay.
func (l *List) Set(now proto.Instant, h proto.HostState) {
	l.changes = append(l.changes, change{at: now.Add(l.cfg.PublishDelay), host: h})
}

// Remove removes a host from the list after PublishDelay.
func (l *List) Remove(now proto.Instant, host string) {
	l.changes = append(l.changes, change{at: now.Add(l.cfg.PublishDelay), host: proto.HostState{Host: host}, remove: true})
}

// Subscribe adds an address to which the list is published.
func (l *List) Subscribe(a proto.Addr) { l.cfg.Subscribers = append(l.cfg.Subscribers, a) }

// Step implements proto.Machine. The list ignores all messages.
func (l *List) Step(now proto.Instant, _ proto.Envelope) { l.Tick(now) }

// Tick implements proto.Machine.
func (l *List) Tick(now proto.Instant) {
	l.now = max(l.now, now)
	l.changes = slices.DeleteFunc(l.changes, func(c change) bool {
		if l.now.Before(c.at) {
			return false
		}
		delete(l.hosts, c.host.Host)
		if !c.remove {
			l.hosts[c.host.Host] = c.host
		}
		return true
	})
	if l.now.Before(l.nextPublish) {
		return
	}
	l.nextPublish = l.now.Add(l.cfg.PublishInterval)
	for _, to := range l.cfg.Subscribers {
		l.out.Send(l.now, to, l.snapshot())
	}
}

// snapshot returns the current list, sorted by host.
func (l *List) snapshot() proto.HostList {
	list := proto.HostList{Hosts: []proto.HostState{}}
	for _, h := range l.hosts {
		list.Hosts = append(list.Hosts, h)
	}
	slices.SortFunc(list.Hosts, func(a, b proto.HostState) int { return strings.Compare(a.Host, b.Host) })
	return list
}

// Wake implements proto.Machine.
func (l *List) Wake() proto.Instant { return min(l.nextPublish, l.out.Wake()) }

// Take implements proto.Machine.
func (l *List) Take() []proto.Envelope { return l.out.TakeDue(l.now) }
