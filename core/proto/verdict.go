package proto

import "fmt"

// Verdict states whether a request ran on an endpoint. The zero value is
// MayHaveRun, the only verdict that is safe as a default.
type Verdict uint8

const (
	// MayHaveRun means that it is unknown whether the request ran.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run and will not run.
	NotRun
	// Ran means that the request ran to completion.
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

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error
// for unknown names.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return Error.New("unknown verdict %q", text)
}
