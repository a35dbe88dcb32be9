package compare

import "github.com/kumquatsill/kumquatsill/core/check"

// firstFailures returns a failure handler that reports only the first failure of
// each invariant.
func firstFailures(report func(string)) func(check.Invariant, string) {
	seen := map[check.Invariant]bool{}
	return func(inv check.Invariant, detail string) {
		if !seen[inv] {
			seen[inv] = true
			report(string(inv) + ": " + detail)
		}
	}
}
