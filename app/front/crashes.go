package front

import "github.com/kumquatsill/kumquatsill/app/driver"

// reportCrashChanges logs the traits that were blocked or released.
func (f *Front) reportCrashChanges() {
	for _, c := range f.crashes.TakeChanges(driver.Now()) {
		msg := "trait released"
		if c.Blocked {
			msg = "trait blocked"
		}
		f.log.Info(msg, "trait", string(c.Trait), "rounds", c.Rounds, "crashes", c.Crashes, "observed", c.Observed)
	}
}
