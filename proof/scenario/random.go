package scenario

import "time"

// Random runs a fleet under random load and faults for a while, and lets it
// come to its end.
func Random(seed uint64, d time.Duration) (*Run, error) {
	r, err := Start(seed)
	if err != nil {
		return nil, err
	}
	rng := r.World.Rand()
	faults := Faults()
	end := r.now().Add(d)
	for r.now() < end {
		r.World.Run(time.Duration(rng.Int64N(int64(400 * time.Millisecond))))
		switch n := rng.IntN(40); {
		case n == 0:
			faults[rng.IntN(len(faults))].Inject(r)
		case n < 30:
			r.randomRequest()
		}
	}
	r.Finish()
	return r, nil
}
