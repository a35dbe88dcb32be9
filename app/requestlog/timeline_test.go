package requestlog_test

import (
	"strings"
	"testing"

	"github.com/kumquatsill/kumquatsill/app/requestlog"
)

const log = `  1.0 front-1 {"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"admitted","id":"a","route":"r"}
  1.2 front-1 {"time":"2026-01-01T00:00:01.2Z","level":"INFO","msg":"endpoint changed","endpoint":"e1","leaving":true}
  1.2 front-1 {"time":"2026-01-01T00:00:01.2Z","level":"INFO","msg":"endpoint changed","endpoint":"e2","leaving":true}
  1.2 front-2 {"time":"2026-01-01T00:00:01.2Z","level":"WARN","msg":"store unreachable"}
not a line of a router
  0.5 front-1 {"time":"2026-01-01T00:00:00.5Z","level":"WARN","msg":"store unreachable","topic":"t"}
  1.9 front-1 {"time":"2026-01-01T00:00:01.9Z","level":"INFO","msg":"finished","id":"a","outcome":"fail"}
  1.4 front-1 {"time":"2026-01-01T00:00:01.4Z","level":"INFO","msg":"attempt","id":"a","endpoint":"e1","result":"broken"}
  1.5 front-1 {"time":"2026-01-01T00:00:01.5Z","level":"INFO","msg":"attempt","id":"b","endpoint":"e1"}
`

// A timeline must not mix requests or routers, and must include the state
// changes that affected the request.
func TestRead(t *testing.T) {
	s, err := requestlog.Read(strings.NewReader(log), "a")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := s.Write(&out); err != nil {
		t.Fatal(err)
	}
	var messages []string
	for line := range strings.Lines(out.String()) {
		messages = append(messages, strings.Fields(strings.TrimPrefix(line, "*"))[1])
	}
	if got := strings.Join(messages, " "); got != "store admitted endpoint attempt finished" {
		t.Fatalf("%s\n%s", got, out.String())
	}
	if strings.Contains(out.String(), "e2") || !strings.Contains(out.String(), "result=broken") {
		t.Fatal(out.String())
	}
}

// A request that is not in the log must be an error, not an empty timeline.
func TestUnknownRequest(t *testing.T) {
	if _, err := requestlog.Read(strings.NewReader(log), "c"); err == nil {
		t.Fatal("no error for a request that is not in the log")
	}
}
