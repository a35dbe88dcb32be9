package limit

import "flag"

// init sets a fixed seed for random tests, so that every run has the same result.
// The flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
