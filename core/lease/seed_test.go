package lease_test

import "flag"

// init sets a fixed seed, so that property tests are reproducible. The flag
// -rapid.seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
