package queue

import "flag"

// init gives random tests a fixed seed, so that they have the same verdict
// every time. The flag -rapid.seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
