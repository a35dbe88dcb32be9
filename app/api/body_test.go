package api_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/app/api"
)

const (
	largeBody = 4 << 20
	// testTimeout limits the waits of these tests; it is no bound that they check.
	testTimeout = 30 * time.Second
)

// Guards against a body without progress that keeps its memory from others or is told something
// else than 408, and against a refusal for lack of memory without a time for the retry.
func TestStalledBodyMakesRoom(t *testing.T) {
	_, server := startServer(t, respondThreeTokens, func(l *api.Limits) { l.Memory = 4 * largeBody })
	data := bytes.Repeat([]byte(" "), largeBody)
	copy(data, `{"model":"m","prompt":"hi"}`)
	stalled, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stalled.Close() }()
	_, _ = fmt.Fprintf(stalled, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", key, len(data))
	if _, err := stalled.Write(data[:len(data)-1]); err != nil {
		t.Fatal(err)
	}
	for end, done := time.Now().Add(testTimeout), false; !done; time.Sleep(20 * time.Millisecond) {
		req, err := http.NewRequest(http.MethodPost, server.URL+"/v1/completions", bytes.NewReader(data))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue // refused while it was being sent
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
			t.Fatal("no time for the retry")
		}
		if done = resp.StatusCode == http.StatusOK; !done && time.Now().After(end) {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
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

// Guards against a body that is changed as its buffer grows, at the sizes at which it does.
func TestGrowingBodyIsWhole(t *testing.T) {
	f, server := startServer(t, respondThreeTokens, func(l *api.Limits) { l.Memory = 64 << 20 })
	for _, size := range []int{100, 4096, 4097, 64 << 10, 64<<10 + 1, 1 << 20} {
		for _, length := range []int64{int64(size), -1} {
			body := []byte(`{"model":"m","prompt":"hi"}`)
			body = append(body[:len(body)-1], bytes.Repeat([]byte(" "), size-len(body))...)
			req, err := http.NewRequest(http.MethodPost, server.URL+"/v1/completions", bytes.NewReader(append(body, '}')))
			if err != nil {
				t.Fatal(err)
			}
			req.ContentLength = length
			req.Header.Set("Authorization", "Bearer "+key)
			before := len(f.requests())
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK || len(f.requests()) != before+1 {
				t.Errorf("%d bytes, length %d: status %d", size, length, resp.StatusCode)
			}
		}
	}
}
