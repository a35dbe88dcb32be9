package note_test

import "flag"

// init sets a fixed seed for random tests, so that their results are
// reproducible. The command-line flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
