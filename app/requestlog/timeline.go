// Package requestlog tells what became of one request from the structured logs of
// routers, however they were collected.
package requestlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("story")

const (
	// maxLine is the longest line that is read, in bytes.
	maxLine = 1 << 20
	// around is how long before a request changes of belief are told.
	around = 5 * time.Second
)

// Line is one line of a log.
type Line struct {
	At      time.Time
	Message string
	// Source is what a collector wrote before the line, such as the host.
	Source string
	Fields map[string]any
}

// Timeline is what the logs say of one request.
type Timeline struct {
	ID string
	// Steps are the lines of the request, in order.
	Steps []Line
	// StateChanges are changes of what the same source believed shortly before and
	// during the request.
	StateChanges []Line
}

// perRequest lists the messages that belong to one request.
var perRequest = map[string]bool{"admitted": true, "attempt": true, "finished": true, "refused": true}

// Read returns the story of the request with an id. Lines that are none of a
// router are skipped. It fails if no line names the request.
func Read(r io.Reader, id string) (Timeline, error) {
	s := Timeline{ID: id}
	var beliefs []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		switch {
		case !ok:
		case perRequest[line.Message]:
			if line.Fields["id"] == id {
				s.Steps = append(s.Steps, line)
			}
		default:
			beliefs = append(beliefs, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return s, Error.Wrap(err)
	}
	if len(s.Steps) == 0 {
		return s, Error.New("no line of the log names request %q", id)
	}
	slices.SortStableFunc(s.Steps, byTime)
	s.StateChanges = s.relevant(beliefs)
	return s, nil
}

func byTime(a, b Line) int { return a.At.Compare(b.At) }

// parse reads a line of JSON, after whatever a collector wrote before it.
func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	decoder := json.NewDecoder(bytes.NewReader(text[start:]))
	decoder.UseNumber() // lives and ids are too long for a float
	if err := decoder.Decode(&fields); err != nil {
		return Line{}, false
	}
	message, _ := fields["msg"].(string) // a line without message is none of ours
	stamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil || message == "" {
		return Line{}, false
	}
	for _, name := range []string{"msg", "time", "level"} {
		delete(fields, name)
	}
	return Line{At: at, Message: message, Source: sourceOf(string(text[:start])), Fields: fields}, true
}

// sourceOf returns the last word before a line, which collectors use for the
// host; a time in front of it changes from line to line.
func sourceOf(prefix string) string {
	words := strings.Fields(prefix)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// relevant returns the changes of belief that may have decided the request:
// those of the same source near it that name one of its endpoints, or none.
func (s *Timeline) relevant(beliefs []Line) []Line {
	first, last := s.Steps[0], s.Steps[len(s.Steps)-1]
	endpoints := map[any]bool{}
	for _, d := range s.Steps {
		endpoints[d.Fields["endpoint"]] = true
	}
	var out []Line
	for _, b := range beliefs {
		endpoint, named := b.Fields["endpoint"]
		near := !b.At.Before(first.At.Add(-around)) && !b.At.After(last.At)
		if b.Source == first.Source && near && (!named || endpoints[endpoint]) {
			out = append(out, b)
		}
	}
	slices.SortStableFunc(out, byTime)
	return out
}

// Write tells the story, one line each.
func (s *Timeline) Write(w io.Writer) error {
	all := slices.Concat(s.StateChanges, s.Steps)
	slices.SortStableFunc(all, byTime)
	start := s.Steps[0].At
	for _, line := range all {
		mark := " "
		if perRequest[line.Message] {
			mark = "*"
		}
		if _, err := fmt.Fprintf(w, "%s %+9.3fs  %-22s %s\n", mark, line.At.Sub(start).Seconds(), line.Message, details(line.Fields)); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

func details(fields map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if name != "id" && fields[name] != "" {
			parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
		}
	}
	return strings.Join(parts, " ")
}
