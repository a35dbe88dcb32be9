package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// maxAnnounced is the number of announced versions kept per model.
	maxAnnounced = 6
	// startDelaySafetyFactor multiplies the expected time to first byte, for
	// requests that are queued at an engine for longer than expected.
	startDelaySafetyFactor = 2
)

// announcedVersion is a model version that the operator has announced.
type announcedVersion struct {
	version int64
	// at is when this router or a peer first read the announcement.
	at proto.Instant
}

// RecordVersion records a newly announced version of a model.
func (p *Placer) RecordVersion(now proto.Instant, model string, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version <= p.newest(model).version {
		return
	}
	versions := append(p.announced[model], announcedVersion{version: version, at: now})
	p.announced[model] = versions[max(0, len(versions)-maxAnnounced):]
}

// AnnouncedVersions returns the last announced versions of each model and the
// time since each announcement.
func (p *Placer) AnnouncedVersions(now proto.Instant) []proto.VersionAge {
	p.mu.Lock()
	defer p.mu.Unlock()
	var announced []proto.VersionAge
	for model, versions := range p.announced {
		for _, v := range versions {
			announced = append(announced, proto.VersionAge{Model: model, Version: v.version, AgeMillis: now.Sub(v.at).Milliseconds()})
		}
	}
	return announced
}

// HandlePeerVersion records since when a peer has known an announced version. A
// router that has just started has read only the newest version, and does not
// know when it was announced.
func (p *Placer) HandlePeerVersion(model string, version int64, at proto.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := p.announced[model]
	i, known := slices.BinarySearchFunc(versions, version, func(v announcedVersion, version int64) int {
		return cmp.Compare(v.version, version)
	})
	if known {
		versions[i].at = min(versions[i].at, at)
		return
	}
	versions = slices.Insert(versions, i, announcedVersion{version: version, at: at})
	p.announced[model] = versions[max(0, len(versions)-maxAnnounced):]
}

// newest returns the newest announced version of a model; mu must be held.
func (p *Placer) newest(model string) announcedVersion {
	versions := p.announced[model]
	if len(versions) == 0 {
		return announcedVersion{}
	}
	return versions[len(versions)-1]
}

// oldestUsable returns the oldest version of a model that may still get new
// requests; mu must be held.
func (p *Placer) oldestUsable(now proto.Instant, model string) int64 {
	oldestUsable := int64(0)
	for _, v := range p.announced[model] {
		if p.limits.VersionLifetime > 0 && now.Sub(v.at) >= p.limits.VersionLifetime-p.limits.VersionStartMargin {
			oldestUsable = v.version
		}
	}
	return oldestUsable
}

// StartTimeLeft returns how much longer a request may begin on a version of a
// model; 0 or less means that it may not. It is meant for models whose versions
// have a limit.
func (p *Placer) StartTimeLeft(now proto.Instant, model string, version int64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startTimeLeft(now, model, version)
}

// startTimeLeft returns how much longer a request may begin on a version of a
// model, or 0 if versions have no limit. While there is no newer version, that
// is the time that would be left if one were announced now; mu must be held.
func (p *Placer) startTimeLeft(now proto.Instant, model string, version int64) time.Duration {
	if p.limits.VersionLifetime <= 0 || version == 0 {
		return 0
	}
	announced := now
	for _, v := range p.announced[model] {
		if v.version > version {
			announced = v.at
			break
		}
	}
	return announced.Add(p.limits.VersionLifetime).Sub(now)
}

// retiresBeforeStart reports whether the version of a choice would be too old by
// the time that the request begins.
func (s *scorer) retiresBeforeStart(c *Choice) bool {
	if s.q.Model == "" {
		return false
	}
	startsAt := s.now.Add(startDelaySafetyFactor * c.ExpectedTTFB)
	return c.Version < s.placer.oldestUsable(startsAt, s.q.Model)
}

const (
	// minMismatchPause and maxMismatchPause bound the exponential pause of an
	// engine after consecutive version mismatches.
	minMismatchPause = 200 * time.Millisecond
	maxMismatchPause = 3200 * time.Millisecond
)

// HandleVersionMismatch records that an engine refused a request because it does
// not run the expected version. If the expected version was not the newest, the
// engine has probably loaded the newest without this router noticing. Otherwise
// the version in the registry is taken.
func (p *Placer) HandleVersionMismatch(now proto.Instant, id proto.EndpointID, model string, expected int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[id]
	e := p.list.ByID[id]
	if l == nil || e == nil || l.version[model] != expected {
		return // the known version has changed since the request was sent
	}
	if newest := p.newest(model).version; expected < newest {
		l.setVersion(model, newest)
		return
	}
	l.version[model] = e.Versions[model]
	l.parts.clear()
	pause := min(minMismatchPause<<min(l.mismatches, 4), maxMismatchPause)
	l.mismatches++
	l.pausedUntil = max(l.pausedUntil, now.Add(pause))
}
