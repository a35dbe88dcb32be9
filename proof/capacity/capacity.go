// Package capacity measures how the state, messages, processor time and memory
// of each role grow with the size of a fleet, and extrapolates them to the
// target size. The command proof/cmd/capacity prints the results, which
// docs/CAPACITY.md contains.
package capacity

import (
	"math"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("capacity")

// Role is a part that one process of the fleet may play.
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

// Roles lists all roles in the order of the page.
func Roles() []Role {
	return []Role{RoleRouter, RoleAgent, RoleBucket, RoleRollout, RoleLog, RoleOperators}
}

// Bound is a limit of the target size.
type Bound string

// Bounds.
const (
	BoundProcessor      Bound = "processor"
	BoundMemory         Bound = "memory"
	BoundControlTraffic Bound = "control bytes"
	BoundNoteDelay      Bound = "notes in force"
	BoundAppends        Bound = "log appends"
)

// Bounds lists all bounds in the order of the page.
func Bounds() []Bound {
	return []Bound{BoundProcessor, BoundMemory, BoundControlTraffic, BoundNoteDelay, BoundAppends}
}

// limits of the bounds, in the unit of unitOf. The design says "a few hundred
// appends a second"; 300 stands for that.
func (b Bound) limit() float64 {
	return map[Bound]float64{BoundProcessor: 2, BoundMemory: 32, BoundControlTraffic: 3000, BoundNoteDelay: 5, BoundAppends: 300}[b]
}

func (b Bound) unit() string {
	return map[Bound]string{
		BoundProcessor: "% of a core", BoundMemory: "MB", BoundControlTraffic: "B/s a node", BoundNoteDelay: "s", BoundAppends: "appends/s of the fleet",
	}[b]
}

// Target sizes of the design.
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

// framingBytes is the estimate of the HTTP/1.1 framing of one message on a
// kept-alive connection: about 180 B of request line and headers for one that
// is sent as a request, about 110 B of status line and headers for an answer.
const framingBytes = 145

// Point is one measurement at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is one quantity, measured at several sizes.
type Series struct {
	ID       string  `json:"id"`
	Role     Role    `json:"role"`
	Quantity string  `json:"quantity"`
	Unit     string  `json:"unit"`
	SizeName string  `json:"size_name"`
	Target   float64 `json:"target"`
	Command  string  `json:"command"`
	// Mechanism names the part of the code that carries the quantity.
	Mechanism string `json:"mechanism"`
	// Cap, if not 0, is where the mechanism stops growing.
	Cap    float64 `json:"cap,omitempty"`
	Points []Point `json:"points"`
}

// Results is everything that was measured in one run.
type Results struct {
	Date      string   `json:"date"`
	Cores     int      `json:"cores"`
	GoVersion string   `json:"go_version"`
	Series    []Series `json:"series"`
	// Target is one router among a fleet of the target size, measured directly.
	Target RouterCost `json:"target"`
	// Partitions are runs of whole routers in two parted regions.
	Partitions []PartitionResult `json:"partitions"`
}

// LinearFit is a line through measurements.
type LinearFit struct{ Slope, Intercept float64 }

// LinearFit returns the line of least squares through the points.
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

// Extrapolated returns the value of the line at the target.
func (s Series) Extrapolated() float64 {
	l := s.LinearFit()
	return l.Intercept + l.Slope*s.Target
}

// Measured returns the value that was measured at the target itself.
func (s Series) Measured() (float64, bool) {
	for _, p := range s.Points {
		if math.Abs(p.Size-s.Target) <= 0.02*s.Target {
			return p.Value, true
		}
	}
	return 0, false
}

// AtTarget returns the larger of the extrapolated value and the one measured at
// the target, or at any size if none was measured there, and at most the cap.
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

// at returns the value that was measured at a size.
func (s Series) valueAt(size float64) float64 {
	for _, p := range s.Points {
		if p.Size == size {
			return p.Value
		}
	}
	return s.LinearFit().Intercept + s.LinearFit().Slope*size
}

// find returns the series of an id.
func (r Results) find(id string) (Series, error) {
	for _, s := range r.Series {
		if s.ID == id {
			return s, nil
		}
	}
	return Series{}, Error.New("the results have no series %q", id)
}

// MinSizes is the least number of sizes of a series.
const MinSizes = 3

// Validate reports the first series that cannot be extrapolated.
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
