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

// NamedVersion is a version that the operator has named.
type NamedVersion struct {
	Version int64
	// At is when this router, or a peer, has read it.
	At proto.Instant
}

// Name records the newest version named of a model.
func (p *Placer) Name(now proto.Instant, model string, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version <= p.newest(model).Version {
		return
	}
	versions := append(p.named[model], NamedVersion{Version: version, At: now})
	p.named[model] = versions[max(0, len(versions)-maxNamed):]
}

// Named returns the last versions named of each model, and since when.
func (p *Placer) Named() map[string][]NamedVersion {
	p.mu.Lock()
	defer p.mu.Unlock()
	named := make(map[string][]NamedVersion, len(p.named))
	for model, versions := range p.named {
		named[model] = slices.Clone(versions)
	}
	return named
}

// NamedBefore records since when a peer has known a version of a model. A
// router that has just started has read only the newest version, and not since
// when it was named.
func (p *Placer) NamedBefore(model string, version int64, at proto.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := p.named[model]
	i, known := slices.BinarySearchFunc(versions, version, func(v NamedVersion, version int64) int {
		return cmp.Compare(v.Version, version)
	})
	if known {
		versions[i].At = min(versions[i].At, at)
		return
	}
	versions = slices.Insert(versions, i, NamedVersion{Version: version, At: at})
	p.named[model] = versions[max(0, len(versions)-maxNamed):]
}

// newest returns the newest version named of a model; mu is held.
func (p *Placer) newest(model string) NamedVersion {
	versions := p.named[model]
	if len(versions) == 0 {
		return NamedVersion{}
	}
	return versions[len(versions)-1]
}

// oldest returns the oldest version of a model that may still be used; mu is
// held.
func (p *Placer) oldest(now proto.Instant, model string) int64 {
	oldest := int64(0)
	for _, v := range p.named[model] {
		if p.cfg.VersionLife > 0 && now.Sub(v.At) >= p.cfg.VersionLife {
			oldest = v.Version
		}
	}
	return oldest
}

// VersionAge returns for how long the version named last has been known.
func (p *Placer) VersionAge(now proto.Instant) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := proto.Instant(0)
	for model := range p.named {
		last = max(last, p.newest(model).At)
	}
	return now.Sub(last)
}

// retiresBefore reports whether the version of a choice would be replaced for
// too long when the request begins.
func (s *scope) retiresBefore(c Choice) bool {
	if s.q.Model == "" {
		return false
	}
	begins := s.now.Add(waitFactor * c.Expected)
	return c.Version < s.placer.oldest(begins, s.q.Model)
}

const (
	// firstMismatchPause and lastMismatchPause bound how long an engine gets no
	// work whose version was misjudged again and again.
	firstMismatchPause = 200 * time.Millisecond
	lastMismatchPause  = 3200 * time.Millisecond
)

// Mismatched records that an engine refused a request because it runs another
// version than the one expected. An engine that was believed to run an older
// version has probably loaded the newest one, and this router has missed it;
// any other belief is given up for what the registry says.
func (p *Placer) Mismatched(now proto.Instant, id proto.EndpointID, model string, expected int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[id]
	e := p.list.ByID[id]
	if l == nil || e == nil || l.version[model] != expected {
		return // the belief has changed meanwhile
	}
	if newest := p.newest(model).Version; expected < newest {
		l.setVersion(model, newest)
		return
	}
	l.version[model] = e.Versions[model]
	l.parts.clear()
	pause := min(firstMismatchPause<<min(l.mismatches, 4), lastMismatchPause)
	l.mismatches++
	l.pausedUntil = max(l.pausedUntil, now.Add(pause))
}
