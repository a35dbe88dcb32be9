package note

import (
	"fmt"
	"strings"
)

// FieldError is one thing wrong with a note.
type FieldError struct {
	// Field is the JSON path, such as "added.accounts[2].rate".
	Field string `json:"field"`
	// Problem is a plain sentence without a full stop.
	Problem string `json:"problem"`
}

// CheckError lists everything wrong with a note.
type CheckError struct {
	Fields []FieldError `json:"fields"`
}

// Error implements error, one problem a line.
func (e *CheckError) Error() string {
	lines := make([]string, len(e.Fields))
	for i, f := range e.Fields {
		lines[i] = f.Field + ": " + f.Problem
	}
	return strings.Join(lines, "\n")
}

// Check reports everything that keeps n from being applied to base, as a
// *CheckError, or nil.
func Check(base *Config, n Note) error {
	var c checker
	if n.BasedOn != base.Revision {
		c.fail("based_on", "is %d, but revision %d is in force", n.BasedOn, base.Revision)
	}
	for i, a := range n.Added.Accounts {
		c.account(fmt.Sprintf("added.accounts[%d]", i), a)
	}
	if len(c.errs) == 0 {
		return nil
	}
	return &CheckError{Fields: c.errs}
}

type checker struct{ errs []FieldError }

func (c *checker) fail(field, format string, args ...any) {
	c.errs = append(c.errs, FieldError{Field: field, Problem: fmt.Sprintf(format, args...)})
}

func (c *checker) account(field string, a Account) {
	if a.ID == "" {
		c.fail(field+".id", "is empty")
	}
	if a.Rate <= 0 {
		c.fail(field+".rate", "is %d tokens/s, must be above 0", a.Rate)
	}
	if a.Burst < a.Rate {
		c.fail(field+".burst", "is %d tokens, must be at least one second of the rate (%d)", a.Burst, a.Rate)
	}
}
