package proto

import "fmt"

// Verdict says whether a request may have run on an endpoint.
// The zero value is MayHaveRun, the only verdict that is safe by default.
type Verdict uint8

const (
	// MayHaveRun means that the outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run and never will.
	NotRun
	// Ran means that the request ran to its end.
	Ran
)

var verdictNames = [...]string{MayHaveRun: "may_have_run", NotRun: "not_run", Ran: "ran"}

// String returns the name used in JSON.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) {
	if int(v) >= len(verdictNames) {
		return nil, Error.New("verdict %d is out of range", uint8(v))
	}
	return []byte(verdictNames[v]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It fails on unknown names.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return Error.New("unknown verdict %q", text)
}
