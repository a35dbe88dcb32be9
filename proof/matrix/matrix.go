// Package matrix tests each fault at each step of a request, a release note and a
// lease: it brings the object to the step, injects the fault, and runs the fleet
// to the end while the oracle checks the invariants.
package matrix

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"

	"github.com/kumquatsill/kumquatsill/core/exchange"
	"github.com/kumquatsill/kumquatsill/core/lease"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/proof/scenario"
)

// Kind is the kind of object that is brought to a step.
type Kind string

// Kinds of columns.
const (
	KindRequest Kind = "request"
	KindNote    Kind = "note"
	KindLease   Kind = "lease"
)

// Column is a step of one kind of object.
type Column struct {
	Kind  Kind
	Step  string
	reach func(*cellRun) error
}

// Name returns the column's name.
func (c Column) Name() string { return string(c.Kind) + "/" + c.Step }

// Columns returns a column for each step that the packages exchange, note and
// lease list. It fails if there is no function to reach a step.
func Columns() ([]Column, error) {
	var columns []Column
	add := func(kind Kind, step string, reach func(*cellRun) error) error {
		if reach == nil {
			return fmt.Errorf("step %s of a %s has no column", step, kind)
		}
		columns = append(columns, Column{Kind: kind, Step: step, reach: reach})
		return nil
	}
	for _, s := range exchange.Steps() {
		if err := add(KindRequest, s.String(), requestSteps[s]); err != nil {
			return nil, err
		}
	}
	for _, s := range note.Steps() {
		if err := add(KindNote, s.String(), noteSteps[s]); err != nil {
			return nil, err
		}
	}
	for _, s := range lease.Steps() {
		if err := add(KindLease, s.String(), leaseSteps[s]); err != nil {
			return nil, err
		}
	}
	return columns, nil
}

// Cell is a combination of one or two faults and a step.
type Cell struct {
	Column Column
	Faults []scenario.Fault
}

// Name returns the name of the cell, from which its seed is derived.
func (c Cell) Name() string { return c.FaultName() + "/" + c.Column.Name() }

// FaultName returns the names of the cell's faults.
func (c Cell) FaultName() string {
	names := make([]string, len(c.Faults))
	for i, f := range c.Faults {
		names[i] = f.Name
	}
	return strings.Join(names, "+")
}

func (c Cell) seed() uint64 {
	h := fnv.New32a()
	h.Write([]byte(c.Name())) // never fails
	return uint64(h.Sum32())
}

// SkipReason returns why the faults cannot occur at the step, or "" if they can.
func (c Cell) SkipReason() string {
	for _, f := range c.Faults {
		if reason := notApplicable(f.Name, c.Column); reason != "" {
			return reason
		}
	}
	return ""
}

// needsNote lists the faults that are caused by a release note or by a request
// with a key, and so require the first note to be in force.
var needsNote = map[string]bool{
	"key-withdrawn": true, "endpoint-leaves": true, "operators-race": true,
	"crashing-request": true, "hot-prefix-shift": true, "fencing-ignored": true,
}

// notApplicable returns why a fault cannot occur at a step, or "" if it can.
func notApplicable(fault string, c Column) string {
	beforeFirstNote := c.Kind == KindLease && (c.Step == lease.StepUnheld.String() || c.Step == lease.StepClaimed.String())
	if beforeFirstNote && needsNote[fault] {
		return "leases are first claimed before the first note: there is no key, endpoint or model yet"
	}
	return ""
}

// Cells returns a cell for each single fault at each step.
func Cells() ([]Cell, error) {
	columns, err := Columns()
	if err != nil {
		return nil, err
	}
	var cells []Cell
	for _, f := range scenario.Faults() {
		for _, c := range columns {
			cells = append(cells, Cell{Column: c, Faults: []scenario.Fault{f}})
		}
	}
	return cells, nil
}

const (
	pairSeed = 1
	numPairs = 120
)

// Pairs returns a fixed random selection of cells with two faults, which may be
// the same fault twice.
func Pairs() ([]Cell, error) {
	columns, err := Columns()
	if err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(pairSeed, 0))
	faults := scenario.Faults()
	seen := map[string]bool{}
	var cells []Cell
	for len(cells) < numPairs {
		c := Cell{
			Column: columns[rng.IntN(len(columns))],
			Faults: []scenario.Fault{faults[rng.IntN(len(faults))], faults[rng.IntN(len(faults))]},
		}
		if c.SkipReason() == "" && !seen[c.Name()] {
			seen[c.Name()] = true
			cells = append(cells, c)
		}
	}
	return cells, nil
}
