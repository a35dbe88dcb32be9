package front_test

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/app/front"
	"github.com/kumquatsill/kumquatsill/standin/hosting"
)

const largeBody = 4 << 20

// configureLarge allows large bodies.
func (b *testbed) configureLarge() {
	b.configure(func(cfg map[string]any) { cfg["limits"] = map[string]any{"bodyBytes": largeBody} })
}

// post sends a body and returns the response and its content. chunked hides the length.
func (r *router) post(path string, body []byte, chunked bool) (*http.Response, string) {
	r.t.Helper()
	req := r.request(path, "secret")
	req.Header.Del("Kumquatsill-Deadline-Remaining")
	req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	if chunked {
		req.ContentLength = -1
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	return resp, string(content)
}

// Guards against a body that reaches its endpoint changed or cut, at the sizes at which its
// segments end.
func TestBodiesArriveUnchanged(t *testing.T) {
	b := newTestbed(t)
	b.configureLarge()
	e := hosting.NewEngine("echo", "plain", "")
	echo := b.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body) // the checksum shows an error
		w.Header().Set("Kumquatsill-Attempt-Id", r.Header.Get("Kumquatsill-Attempt-Id"))
		w.Header().Set("Kumquatsill-Response-Signature", hosting.SignatureOf(e.ID))
		_, _ = fmt.Fprintf(w, "%d %x", len(data), crc32.ChecksumIEEE(data))
	}))
	for _, plain := range b.engines[2:] {
		b.store.PutKey("keyed.servers", plain.ID, nil)
	}
	b.store.PutKey("keyed.servers", e.ID, e.Registration(echo, "zone-a", "ready"))
	r := b.startWith("r1", func(cfg *front.Config) { cfg.Settings.MemoryBytes = 64 << 20 }).awaitReady(b)
	data := make([]byte, largeBody)
	for i := range data {
		data[i] = byte(i * 7 >> 3)
	}
	for _, size := range []int{0, 1, 4095, 4096, 4097, 8192, 64 << 10, 64<<10 + 1, 320 << 10, 1<<20 + 3, largeBody} {
		for _, chunked := range []bool{false, true} {
			want := fmt.Sprintf("%d %x", size, crc32.ChecksumIEEE(data[:size]))
			if resp, got := r.post("/look/x", data[:size], chunked); got != want {
				t.Errorf("%d bytes, chunked %v: status %d, %q, want %q", size, chunked, resp.StatusCode, got, want)
			}
		}
	}
	if resp, _ := r.post("/look/x", append(data, 'x'), true); resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("a body above the limit: status %d", resp.StatusCode)
	}
}

// Guards against a refusal for lack of memory without a time for the retry, a stalled body that
// keeps its memory from others, and one that is told something else than 408.
func TestStalledBodyMakesRoom(t *testing.T) {
	b := newTestbed(t)
	b.configureLarge()
	r := b.startWith("r1", func(cfg *front.Config) { cfg.Settings.MemoryBytes = 4 * largeBody }).awaitReady(b)
	stalled, err := net.Dial("tcp4", r.callerAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stalled.Close() }()
	data := make([]byte, largeBody)
	_, _ = fmt.Fprintf(stalled, "POST /look/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token secret\r\nKumquatsill-Attempt-Id: a1\r\nContent-Length: %d\r\n\r\n", len(data))
	if _, err := stalled.Write(data[1:]); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the body is taken", func() bool {
		resp, _ := r.post("/look/x", data, false)
		if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
			t.Fatal("no time for the retry")
		}
		return resp.StatusCode == http.StatusOK
	})
	_ = stalled.SetReadDeadline(time.Now().Add(testTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("status %d", resp.StatusCode)
	}
}
