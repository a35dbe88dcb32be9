package matrix_test

import (
	"testing"

	"github.com/kumquatsill/kumquatsill/proof/matrix"
)

// Guards against a fault that violates an invariant at some step of a request, a
// note or a lease, and against a step that the matrix does not cover.
func TestFaults(t *testing.T) {
	cells, err := matrix.Cells()
	if err != nil {
		t.Fatal(err)
	}
	runCells(t, cells)
}

// Guards against two faults that violate an invariant only in combination.
func TestPairsOfFaults(t *testing.T) {
	cells, err := matrix.Pairs()
	if err != nil {
		t.Fatal(err)
	}
	runCells(t, cells)
}

func runCells(t *testing.T, cells []matrix.Cell) {
	for _, c := range cells {
		t.Run(c.Name(), func(t *testing.T) {
			t.Parallel()
			res := matrix.RunCell(c)
			if res.SkipReason != "" {
				t.Skip(res.SkipReason)
			}
			if res.Err != nil {
				t.Fatal(res.Err)
			}
			for i, f := range res.Failures {
				if i == 5 {
					break
				}
				t.Errorf("at %v: %s: %s", f.At.Sub(0), f.Invariant, f.Detail)
			}
			if t.Failed() {
				for _, e := range res.Events {
					t.Log(e)
				}
			}
		})
	}
}
