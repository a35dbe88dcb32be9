package suspect_test

import "flag"

// init gives the property tests a fixed seed, so that every run has the same
// result. The flag -rapid.seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
