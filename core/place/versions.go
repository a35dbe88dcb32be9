package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxNamed is the number of named versions kept of each model.
	maxNamed = 6
	// waitFactor allows for requests that wait longer at an engine than
	// expected before they begin.
	waitFactor = 2
)

// namedVersion is a version that the operator has named.
type namedVersion struct {
	version int64
	// at is when this router, or a peer, has read it.
	at proto.Instant
}

// Name records the newest version named of a model.
func (p *Placer) Name(now proto.Instant, model string, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version <= p.newest(model).version {
		return
	}
	versions := append(p.named[model], namedVersion{version: version, at: now})
	p.named[model] = versions[max(0, len(versions)-maxNamed):]
}

// Named returns the last versions named of each model, and for how long.
func (p *Placer) Named(now proto.Instant) []proto.VersionAge {
	p.mu.Lock()
	defer p.mu.Unlock()
	var named []proto.VersionAge
	for model, versions := range p.named {
		for _, v := range versions {
			named = append(named, proto.VersionAge{Model: model, Version: v.version, AgeMillis: now.Sub(v.at).Milliseconds()})
		}
	}
	return named
}

// HandlePeerVersion records since when a peer has known a version of a model. A
// router that has just started has read only the newest version, and not since
// when it was named.
func (p *Placer) HandlePeerVersion(model string, version int64, at proto.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := p.named[model]
	i, known := slices.BinarySearchFunc(versions, version, func(v namedVersion, version int64) int {
		return cmp.Compare(v.version, version)
	})
	if known {
		versions[i].at = min(versions[i].at, at)
		return
	}
	versions = slices.Insert(versions, i, namedVersion{version: version, at: at})
	p.named[model] = versions[max(0, len(versions)-maxNamed):]
}

// newest returns the newest version named of a model; mu is held.
func (p *Placer) newest(model string) namedVersion {
	versions := p.named[model]
	if len(versions) == 0 {
		return namedVersion{}
	}
	return versions[len(versions)-1]
}

// oldest returns the oldest version of a model that may still get requests; mu
// is held.
func (p *Placer) oldest(now proto.Instant, model string) int64 {
	oldest := int64(0)
	for _, v := range p.named[model] {
		if p.limits.VersionLife > 0 && now.Sub(v.at) >= p.limits.VersionLife-p.limits.VersionStartMargin {
			oldest = v.version
		}
	}
	return oldest
}

// StartTimeLeft returns for how long a request may begin on a version of a model; 0
// or less means no longer. It is meant for models whose versions have a limit.
func (p *Placer) StartTimeLeft(now proto.Instant, model string, version int64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mayBegin(now, model, version)
}

// mayBegin returns for how long a request may begin on a version of a model, or
// 0 where versions have no limit. While no newer version is named, that is the
// time that would be left if one were named now; mu is held.
func (p *Placer) mayBegin(now proto.Instant, model string, version int64) time.Duration {
	if p.limits.VersionLife <= 0 || version == 0 {
		return 0
	}
	named := now
	for _, v := range p.named[model] {
		if v.version > version {
			named = v.at
			break
		}
	}
	return named.Add(p.limits.VersionLife).Sub(now)
}

// NewestVersionAge returns for how long the version named last has been known.
func (p *Placer) NewestVersionAge(now proto.Instant) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := proto.Instant(0)
	for model := range p.named {
		last = max(last, p.newest(model).at)
	}
	return now.Sub(last)
}

// retiresBefore reports whether the version of a choice would be replaced for
// too long when the request begins.
func (s *scope) retiresBefore(c Choice) bool {
	if s.q.Model == "" {
		return false
	}
	begins := s.now.Add(waitFactor * c.ExpectedTTFB)
	return c.Version < s.placer.oldest(begins, s.q.Model)
}

const (
	// firstMismatchPause and lastMismatchPause bound how long an engine gets no
	// work whose version was misjudged again and again.
	firstMismatchPause = 200 * time.Millisecond
	lastMismatchPause  = 3200 * time.Millisecond
)

// HandleVersionMismatch records that an engine refused a request because it runs another
// version than the one expected. An engine that was believed to run an older
// version has probably loaded the newest one, and this router has missed it;
// any other belief is given up for what the registry says.
func (p *Placer) HandleVersionMismatch(now proto.Instant, id proto.EndpointID, model string, expected int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[id]
	e := p.list.ByID[id]
	if l == nil || e == nil || l.version[model] != expected {
		return // the belief has changed meanwhile
	}
	if newest := p.newest(model).version; expected < newest {
		l.setVersion(model, newest)
		return
	}
	l.version[model] = e.Versions[model]
	l.parts.clear()
	pause := min(firstMismatchPause<<min(l.mismatches, 4), lastMismatchPause)
	l.mismatches++
	l.pausedUntil = max(l.pausedUntil, now.Add(pause))
}
