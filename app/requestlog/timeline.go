// Package requestlog rebuilds the timeline of one request from the structured
// logs of routers. Text that a log collector puts before each line is accepted.
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
// Its text is an earlier name of the package; it stays, as operators see it in errors.
var Error = errs.Class("story")

const (
	// maxLineBytes limits the length of a log line.
	maxLineBytes = 1 << 20
	// lookback is how long before a request its timeline starts to include state
	// changes.
	lookback = 5 * time.Second
)

// Line is one parsed log line.
type Line struct {
	At      time.Time
	Message string
	// Source is the last word that the log collector put before the line,
	// usually the host.
	Source string
	Fields map[string]any
}

// Timeline holds the log lines that concern one request.
type Timeline struct {
	ID string
	// Steps are the request's own log lines, ordered by time.
	Steps []Line
	// StateChanges are the other log lines of the same source, from shortly
	// before the request until its end, that may have affected it.
	StateChanges []Line
}

// isRequestMessage holds the log messages that concern a single request.
var isRequestMessage = map[string]bool{"admitted": true, "attempt": true, "finished": true, "refused": true}

// Read returns the timeline of the request with an ID. Lines that were not
// written by a router are skipped. It fails if no line names the request.
func Read(r io.Reader, id string) (Timeline, error) {
	t := Timeline{ID: id}
	var stateChanges []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		switch {
		case !ok:
		case isRequestMessage[line.Message]:
			if line.Fields["id"] == id {
				t.Steps = append(t.Steps, line)
			}
		default:
			stateChanges = append(stateChanges, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return t, Error.Wrap(err)
	}
	if len(t.Steps) == 0 {
		return t, Error.New("request %q not found in the log", id)
	}
	slices.SortStableFunc(t.Steps, byTime)
	t.StateChanges = t.relevantChanges(stateChanges)
	return t, nil
}

func byTime(a, b Line) int { return a.At.Compare(b.At) }

// parse decodes a JSON log line, skipping the prefix of a log collector.
func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	decoder := json.NewDecoder(bytes.NewReader(text[start:]))
	decoder.UseNumber() // incarnations and IDs do not fit into a float64
	if err := decoder.Decode(&fields); err != nil {
		return Line{}, false
	}
	message, _ := fields["msg"].(string) // a line without a message is skipped below
	timestamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil || message == "" {
		return Line{}, false
	}
	for _, name := range []string{"msg", "time", "level"} {
		delete(fields, name)
	}
	return Line{At: at, Message: message, Source: parseSource(string(text[:start])), Fields: fields}, true
}

// parseSource returns the last word of a collector's prefix, usually the host.
// Words before it, such as a timestamp, differ from line to line.
func parseSource(prefix string) string {
	words := strings.Fields(prefix)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// relevantChanges returns the state changes that may have affected the request:
// those logged by the same source during the request or up to lookback before
// it, and which name one of the request's endpoints or no endpoint.
func (t *Timeline) relevantChanges(stateChanges []Line) []Line {
	first, last := t.Steps[0], t.Steps[len(t.Steps)-1]
	endpoints := map[any]bool{}
	for _, step := range t.Steps {
		endpoints[step.Fields["endpoint"]] = true
	}
	var out []Line
	for _, c := range stateChanges {
		endpoint, named := c.Fields["endpoint"]
		near := !c.At.Before(first.At.Add(-lookback)) && !c.At.After(last.At)
		if c.Source == first.Source && near && (!named || endpoints[endpoint]) {
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, byTime)
	return out
}

// Write prints the timeline, one line of text per log line. Lines of the request
// itself are marked with an asterisk.
func (t *Timeline) Write(w io.Writer) error {
	all := slices.Concat(t.StateChanges, t.Steps)
	slices.SortStableFunc(all, byTime)
	start := t.Steps[0].At
	for _, line := range all {
		mark := " "
		if isRequestMessage[line.Message] {
			mark = "*"
		}
		if _, err := fmt.Fprintf(w, "%s %+9.3fs  %-22s %s\n", mark, line.At.Sub(start).Seconds(), line.Message, formatFields(line.Fields)); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// formatFields returns a line's non-empty fields except the ID as name=value
// pairs, sorted by name.
func formatFields(fields map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if name != "id" && fields[name] != "" {
			parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
		}
	}
	return strings.Join(parts, " ")
}
