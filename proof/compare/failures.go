package compare

import "github.com/kumquatsill/kumquatsill/core/check"

// failures reports the first failure of each invariant.
func failures(report func(string)) func(check.Invariant, string) {
	seen := map[check.Invariant]bool{}
	return func(inv check.Invariant, detail string) {
		if !seen[inv] {
			seen[inv] = true
			report(string(inv) + ": " + detail)
		}
	}
}
