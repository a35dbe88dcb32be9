// Package capacity measures how the state, messages, processor time and memory
// of each role grow with the size of a fleet, and extrapolates them to the
// target size. The command proof/cmd/capacity prints the results as the tables
// that docs/CAPACITY.md contains.
package capacity

import (
	"math"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("capacity")

// Role is a function that a process of the fleet performs. One process may
// have several roles: lease holders are routers too.
type Role string

// Roles.
const (
	RoleRouter    Role = "entry router"
	RoleAgent     Role = "agent"
	RoleBucket    Role = "bucket holder"
	RoleRollout   Role = "rollout holder"
	RoleLog       Role = "log traffic"
	RoleOperators Role = "operators' tools"
)

// Roles returns all roles in the order of docs/CAPACITY.md.
func Roles() []Role {
	return []Role{RoleRouter, RoleAgent, RoleBucket, RoleRollout, RoleLog, RoleOperators}
}

// Bound names a resource that the design limits at the target size.
type Bound string

// Bounds.
const (
	BoundProcessor      Bound = "processor"
	BoundMemory         Bound = "memory"
	BoundControlTraffic Bound = "control bytes"
	BoundNoteDelay      Bound = "notes in force"
	BoundAppends        Bound = "log appends"
)

// Bounds returns all bounds in the order of docs/CAPACITY.md.
func Bounds() []Bound {
	return []Bound{BoundProcessor, BoundMemory, BoundControlTraffic, BoundNoteDelay, BoundAppends}
}

// limit returns the largest allowed value, in the unit that unit returns. The
// design allows "a few hundred appends a second", taken here as 300.
func (b Bound) limit() float64 {
	return map[Bound]float64{BoundProcessor: 2, BoundMemory: 32, BoundControlTraffic: 3000, BoundNoteDelay: 5, BoundAppends: 300}[b]
}

func (b Bound) unit() string {
	return map[Bound]string{
		BoundProcessor: "% of a core", BoundMemory: "MB", BoundControlTraffic: "B/s a node", BoundNoteDelay: "s", BoundAppends: "appends/s of the fleet",
	}[b]
}

// Sizes of the fleet that the design aims at. TargetRequestRate is requests/s
// of one router, TargetCacheBlocks and TargetEventRate (cache events/s) are of
// one engine.
const (
	TargetRouters     = 320
	TargetEndpoints   = 600
	TargetAccounts    = 1200
	TargetModels      = 22
	TargetRequestRate = 4400.0 / TargetRouters
	TargetCacheBlocks = 98_000
	TargetEventRate   = 233
	TargetNotesPerDay = 1300
)

// framingBytes is the estimated HTTP/1.1 framing of one message on a
// keep-alive connection, the mean of about 180 B of request line and headers
// and about 110 B of status line and headers of a response.
const framingBytes = 145

// Point is the value measured at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series holds the measurements of one quantity at several sizes.
type Series struct {
	ID       string  `json:"id"`
	Role     Role    `json:"role"`
	Quantity string  `json:"quantity"`
	Unit     string  `json:"unit"`
	SizeName string  `json:"size_name"`
	Target   float64 `json:"target"`
	Command  string  `json:"command"`
	// Mechanism names the code or messages that cause the quantity.
	Mechanism string `json:"mechanism"`
	// Cap, if not 0, is the value at which the quantity stops growing.
	Cap    float64 `json:"cap,omitempty"`
	Points []Point `json:"points"`
}

// Results holds all measurements of one run.
type Results struct {
	Date      string   `json:"date"`
	Cores     int      `json:"cores"`
	GoVersion string   `json:"go_version"`
	Series    []Series `json:"series"`
	// Target is the cost of one router in a fleet of the target size, measured
	// directly instead of extrapolated.
	Target RouterCost `json:"target"`
	// Partitions are measured with complete routers in two regions that cannot
	// reach each other.
	Partitions []PartitionResult `json:"partitions"`
}

// LinearFit is a straight line fitted to measurements.
type LinearFit struct{ Slope, Intercept float64 }

// LinearFit fits a line to the points by least squares. With fewer than two
// distinct sizes it is constant at the mean.
func (s Series) LinearFit() LinearFit {
	var n, sx, sy, sxx, sxy float64
	for _, p := range s.Points {
		n++
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return LinearFit{Intercept: sy / max(n, 1)}
	}
	slope := (n*sxy - sx*sy) / d
	return LinearFit{Slope: slope, Intercept: (sy - slope*sx) / n}
}

// Extrapolated returns the value of the fitted line at the target size.
func (s Series) Extrapolated() float64 {
	l := s.LinearFit()
	return l.Intercept + l.Slope*s.Target
}

// Measured returns the value measured within 2% of the target size, if any.
func (s Series) Measured() (float64, bool) {
	for _, p := range s.Points {
		if math.Abs(p.Size-s.Target) <= 0.02*s.Target {
			return p.Value, true
		}
	}
	return 0, false
}

// AtTarget returns the larger of the extrapolated value and the value measured
// at the target size, but at most Cap. If nothing was measured at the target,
// the largest measured value takes the place of the latter.
func (s Series) AtTarget() float64 {
	v := s.Extrapolated()
	if m, ok := s.Measured(); ok {
		v = max(v, m)
	} else {
		for _, p := range s.Points {
			v = max(v, p.Value)
		}
	}
	if s.Cap > 0 {
		v = min(v, s.Cap)
	}
	return v
}

// valueAt returns the value measured at a size, or else the value of the
// fitted line.
func (s Series) valueAt(size float64) float64 {
	for _, p := range s.Points {
		if p.Size == size {
			return p.Value
		}
	}
	return s.LinearFit().Intercept + s.LinearFit().Slope*size
}

// find returns the series with the given ID.
func (r Results) find(id string) (Series, error) {
	for _, s := range r.Series {
		if s.ID == id {
			return s, nil
		}
	}
	return Series{}, Error.New("the results have no series %q", id)
}

// MinSizes is the smallest number of sizes at which a series is measured.
const MinSizes = 3

// Validate checks the date, that each series is complete and has enough sizes
// to extrapolate, and that no series of Rows is missing. It returns the first
// problem.
func (r Results) Validate() error {
	if _, err := time.Parse(time.DateOnly, r.Date); err != nil {
		return Error.New("date %q: %v", r.Date, err)
	}
	for _, s := range r.Series {
		if s.ID == "" || s.Command == "" || s.Mechanism == "" {
			return Error.New("series %q lacks its id, command or mechanism", s.ID)
		}
		if len(s.Points) < MinSizes {
			return Error.New("series %q has %d sizes, at least %d are needed", s.ID, len(s.Points), MinSizes)
		}
	}
	_, err := r.Rows()
	return err
}
