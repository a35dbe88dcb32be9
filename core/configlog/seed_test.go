package configlog_test

import "flag"

// init gives the property tests a fixed seed, so that their result is the same
// in every run. The flag -rapid.seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
