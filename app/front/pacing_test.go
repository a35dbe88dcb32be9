package front_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/app/front"
)

// logLines keeps the lines of a log. It is safe for concurrent use.
type logLines struct {
	mu   sync.Mutex
	kept bytes.Buffer
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.kept.Write(p)
}

// with returns the lines with a message.
func (l *logLines) with(message string) (lines []map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for raw := range bytes.Lines(l.kept.Bytes()) {
		var line map[string]any
		if json.Unmarshal(raw, &line) == nil && line["msg"] == message {
			lines = append(lines, line)
		}
	}
	return lines
}

// Guards against a late stream whose log line does not tell what made it late, and against
// a load with a fourth figure that is taken for malformed.
func TestAttemptLineTellsThePaceOfAStream(t *testing.T) {
	const pause = 1200 * time.Millisecond // three times the permitted gap of the testbed
	b := newTestbed(t)
	for _, e := range b.engines[:2] {
		e.Pause = pause
		e.Load = func(running int) string { return fmt.Sprint(running, ",0,8,250") }
	}
	b.configure(nil)
	var lines logLines
	r := b.startWith("r1", func(c *front.Config) { c.Log = slog.New(slog.NewJSONHandler(&lines, nil)) }).awaitReady(b)
	if status, body := r.call("/chat/1", "secret"); status != http.StatusOK || eventIDs(body) != "1,2,3,4,5" {
		t.Fatalf("status %d, events %q", status, eventIDs(body))
	}
	eventually(t, "the attempt is logged", func() bool {
		for _, line := range lines.with("attempt") {
			if line["route"] != "chat" {
				continue
			}
			if line["late"] != "gap" || line["events"] != 5.0 || line["load_slowdown"] != 250.0 || line["load_slots"] != 8.0 ||
				line["gap_ms"].(float64) > line["events_ms"].(float64) {
				t.Fatalf("%v", line)
			}
			return true
		}
		return false
	})
}
