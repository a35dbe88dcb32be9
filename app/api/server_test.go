package api_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kumquatsill/kumquatsill/app/api"
	"github.com/kumquatsill/kumquatsill/app/transport"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const key = "ks-0123456789abcdef"

// fakeRouter responds to each request with the messages that respond returns.
type fakeRouter struct {
	mu       sync.Mutex
	received []proto.CallerRequest
	gone     chan proto.RequestID
	respond  func(proto.CallerRequest) []proto.Message
}

func (f *fakeRouter) Submit(req proto.CallerRequest, limit int) (*transport.Mailbox, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = append(f.received, req)
	box := transport.NewMailbox(limit)
	for _, m := range f.respond(req) {
		box.Put(proto.Envelope{Msg: m})
	}
	return box, true
}

func (f *fakeRouter) EndRequest(id proto.RequestID, gone bool) {
	if gone {
		f.gone <- id
	}
}

func (f *fakeRouter) View() transport.View { return transport.View{Config: note.Empty(), Ready: true} }

func (f *fakeRouter) requests() []proto.CallerRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

func respondThreeTokens(req proto.CallerRequest) []proto.Message {
	if req.Class == proto.ClassCall {
		return []proto.Message{proto.CallerFinish{Status: 201, ContentType: "text/plain", Body: []byte("done")}}
	}
	var out []proto.Message
	for i, text := range []string{"a", "b", "c"} {
		out = append(out, proto.CallerChunk{Seq: proto.Seq(i + 1), Version: "v1", Text: text})
	}
	return append(out, proto.CallerFinish{LastSeq: 3, Usage: proto.Usage{PromptTokens: 5, CompletionTokens: 3}})
}

func startServer(t *testing.T, respond func(proto.CallerRequest) []proto.Message, change func(*api.Limits)) (*fakeRouter, *httptest.Server) {
	t.Helper()
	limits := api.DefaultLimits()
	if change != nil {
		change(&limits)
	}
	f := &fakeRouter{respond: respond, gone: make(chan proto.RequestID, 16)}
	s := api.New(f, limits, api.NewMetrics(metrics.NewSet()))
	server := httptest.NewUnstartedServer(s)
	s.Configure(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	return f, server
}

// sendRaw sends a request byte for byte and returns the status and the body.
func sendRaw(t *testing.T, server *httptest.Server, text string) (int, string) {
	t.Helper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Minute))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(body)
}

func post(path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n%s\r\n%s", path, key, len(body), headers, body)
}

// Guards against events without a usable id for resuming, or out of order.
func TestStream(t *testing.T) {
	f, server := startServer(t, respondThreeTokens, nil)
	status, body := sendRaw(t, server, post("/v1/completions", "", `{"model":"m","prompt":"hi","stream":true,"temperature":0}`))
	id := string(f.requests()[0].ID)
	last := -1
	for i, text := range []string{"a", "b", "c"} {
		want := fmt.Sprintf("id: %s:v1:%d\n", id, i+1)
		at := strings.Index(body, want)
		if at <= last || !strings.Contains(body[at:], `"text":"`+text+`"`) {
			t.Errorf("event %q missing or out of order in %s", want, body)
		}
		last = at
	}
	if status != 200 || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("status %d, body %s", status, body)
	}
}

// Guards against a whole response without usage or with text missing.
func TestWholeAnswer(t *testing.T) {
	_, server := startServer(t, respondThreeTokens, nil)
	_, body := sendRaw(t, server, post("/v1/chat/completions", "", `{"model":"m","messages":[{"role":"user","content":"hi"}]}`))
	var got struct {
		Choices []struct{ Message struct{ Content string } }
		Usage   struct {
			Total int `json:"total_tokens"`
		}
	}
	if err := json.Unmarshal([]byte(body), &got); err != nil || got.Choices[0].Message.Content != "abc" || got.Usage.Total != 8 {
		t.Errorf("%v: %s", err, body)
	}
}

// Guards against a key that is passed on to the router, wherever in the
// request the caller sends it.
func TestKeysAreRemoved(t *testing.T) {
	plain := `{"model":"m","prompt":"hi"`
	for name, text := range map[string]string{
		"bearer": post("/v1/completions", "", plain+"}"),
		"header": post("/v1/completions", "X-Api-Key: "+key+"\r\n", plain+"}"),
		"query":  post("/v1/completions?a=1&api_key="+key, "", plain+"}"),
		"cookie": post("/v1/completions", "Cookie: access_token="+key+"\r\n", plain+"}"),
		"field":  post("/v1/completions", "", plain+`,"api_key":"`+key+`"}`),
		"call":   post("/orders?key="+key, "", "{}"),
	} {
		f, server := startServer(t, respondThreeTokens, nil)
		sendRaw(t, server, text)
		if len(f.requests()) != 1 {
			t.Errorf("%s: %d requests", name, len(f.requests()))
			continue
		}
		req := f.requests()[0]
		seen := fmt.Sprintf("%+v %s", req, req.Body)
		if strings.Contains(seen, key) || req.Key != note.HashKey(key) {
			t.Errorf("%s: %s", name, seen)
		}
	}
}

// Guards against malformed or ambiguous requests that are accepted, and
// against refusals without a problem document and verdict.
func TestRefusals(t *testing.T) {
	ok := `{"model":"m","prompt":"x"}`
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"not JSON":          {post("/v1/completions", "", "{"), 400},
		"no model":          {post("/v1/completions", "", `{"prompt":"x"}`), 400},
		"temperature":       {post("/v1/completions", "", `{"model":"m","prompt":"x","temperature":9}`), 400},
		"key in prompt":     {post("/v1/completions", "", `{"model":"m","prompt":"`+key+`"}`), 400},
		"escaped key":       {post("/v1/completions", "", `{"model":"m","prompt":"\u006b`+key[1:]+`"}`), 400},
		"two keys":          {post("/v1/completions", "X-Api-Key: ks-another-key-000\r\n", ok), 400},
		"two idempotency":   {post("/orders", "Idempotency-Key: a\r\nIdempotency-Key: b\r\n", ok), 400},
		"dropped header":    {strings.Replace(post("/v1/completions", "", ok), "Connection: close", "Connection: close, Authorization", 1), 400},
		"dot segment":       {post("/orders/../admin", "", ok), 400},
		"escaped separator": {post("/orders/%2e%2e/admin", "", ok), 400},
		"empty segment":     {post("//orders", "", ok), 400},
		"internal path":     {post("/internal/v1/envelope", "", ok), 404},
		"request id":        {post("/v1/completions", "X-Request-Id: a b\r\n", ok), 400},
		"event id":          {post("/v1/completions", "Last-Event-ID: x\r\n", ok), 400},
		"encoding":          {post("/v1/completions", "Content-Encoding: gzip\r\n", ok), 415},
		"declared size":     {strings.Replace(post("/v1/completions", "", ok), "Content-Length: ", "Content-Length: 99999", 1), 413},
	} {
		f, server := startServer(t, respondThreeTokens, func(l *api.Limits) { l.Body = 1 << 16 })
		status, body := sendRaw(t, server, c.text)
		var problem api.Problem
		err := json.Unmarshal([]byte(body), &problem)
		if status != c.status || err != nil || problem.Verdict != proto.NotRun || problem.Status != status || len(f.requests()) != 0 {
			t.Errorf("%s: status %d, want %d, %d requests, body %s", name, status, c.status, len(f.requests()), body)
		}
	}
	_, server := startServer(t, respondThreeTokens, nil)
	if status, _ := sendRaw(t, server, strings.Replace(post("/orders", "", ok), "Content-Length", "Content-Length: 3\r\nContent-Length", 1)); status != 400 {
		t.Errorf("two lengths: status %d", status)
	}
}

// Guards against incomplete bodies that keep a connection open indefinitely.
func TestHalfSentBody(t *testing.T) {
	_, server := startServer(t, respondThreeTokens, func(l *api.Limits) { l.BodyTimeout = 50 * time.Millisecond })
	text := strings.Replace(post("/v1/completions", "", "{}"), "Content-Length: 2", "Content-Length: 200", 1)
	if status, body := sendRaw(t, server, text); status != 408 {
		t.Errorf("status %d, body %s", status, body)
	}
}

// Guards against a caller that reads nothing and keeps a request open
// indefinitely.
func TestCallerThatReadsNothing(t *testing.T) {
	big := strings.Repeat("x", 256<<10)
	f, server := startServer(t, func(proto.CallerRequest) []proto.Message {
		var out []proto.Message
		for i := range 60 {
			out = append(out, proto.CallerChunk{Seq: proto.Seq(i + 1), Text: big})
		}
		return out
	}, func(l *api.Limits) {
		l.WriteTimeout = 50 * time.Millisecond
		l.Buffer = 64 << 20
	})
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, post("/v1/completions", "", `{"model":"m","prompt":"x","stream":true}`)); err != nil {
		t.Fatal(err)
	}
	<-f.gone
}

// Guards against a missing Retry-After or rate-limit header, and a refusal
// within a stream that looks like the normal end of the stream.
func TestRefusalOfTheRouter(t *testing.T) {
	refusal := proto.CallerRefusal{Cause: proto.CauseRateLimited, Verdict: proto.NotRun, RetryAfter: 1500 * time.Millisecond, Limit: &proto.LimitState{Burst: 9}}
	_, server := startServer(t, func(proto.CallerRequest) []proto.Message { return []proto.Message{refusal} }, nil)
	res, err := http.Post(server.URL+"/v1/completions", "application/json", strings.NewReader(`{"model":"m","prompt":"x"}`))
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != 429 || res.Header.Get("Retry-After") != "2" || res.Header.Get("X-Ratelimit-Limit-Tokens") != "9" {
		t.Errorf("status %d, headers %v", res.StatusCode, res.Header)
	}
	_, server = startServer(t, func(proto.CallerRequest) []proto.Message {
		return []proto.Message{proto.CallerChunk{Seq: 1, Text: "a"}, proto.CallerRefusal{Cause: proto.CauseStreamBroken}}
	}, nil)
	_, body := sendRaw(t, server, post("/v1/completions", "", `{"model":"m","prompt":"x","stream":true}`))
	if !strings.Contains(body, "event: error\n") || !strings.Contains(body, "may_have_run") || strings.Contains(body, "[DONE]") {
		t.Errorf("body %s", body)
	}
}
