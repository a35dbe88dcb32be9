package proto

import "time"

// VersionAge is a model version that the operator has announced, with the time
// since its announcement as of when this value was written.
type VersionAge struct {
	Model     string `json:"model"`
	Version   int64  `json:"version"`
	AgeMillis int64  `json:"age_ms"`
}

// Age returns the time since the announcement.
func (v VersionAge) Age() time.Duration { return time.Duration(v.AgeMillis) * time.Millisecond }
