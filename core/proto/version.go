package proto

import "time"

// VersionAge is a version that the operator has named of a model, and for how
// long it had been named when this was written.
type VersionAge struct {
	Model     string `json:"model"`
	Version   int64  `json:"version"`
	AgeMillis int64  `json:"age_ms"`
}

// Age returns for how long the version had been named.
func (v VersionAge) Age() time.Duration { return time.Duration(v.AgeMillis) * time.Millisecond }
