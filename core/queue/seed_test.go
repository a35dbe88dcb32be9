package queue

import "flag"

// init sets a fixed seed for the property-based tests, so that their results are
// reproducible. The flag -rapid.seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
