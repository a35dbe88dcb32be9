package api

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/kumquatsill/kumquatsill/app/transport"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// responseWriter writes the router's messages about one request as an HTTP
// response.
type responseWriter struct {
	s       *Server
	w       http.ResponseWriter
	control *http.ResponseController
	req     *request
	mailbox *transport.Mailbox
	// started is set once the header of a stream is written.
	started    bool
	version    string
	text       strings.Builder
	written    int
	firstToken time.Duration
}

// forward submits a request to the router and writes the response. A returned
// problem is not written yet.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, req *request) *Problem {
	mailbox, ok := s.router.Submit(req.CallerRequest, s.limits.Buffer)
	if !ok {
		s.router.EndRequest(req.ID, false)
		return newProblem(proto.CauseShuttingDown, proto.NotRun, "").withRetry(time.Second)
	}
	rw := &responseWriter{s: s, w: w, control: http.NewResponseController(w), req: req, mailbox: mailbox}
	ctx, cancel := context.WithTimeout(r.Context(), req.Timeout+responseGrace)
	defer cancel()
	ended, problem := rw.relayMessages(ctx)
	s.router.EndRequest(req.ID, !ended)
	if problem == nil || !rw.started {
		return problem
	}
	rw.writeStreamProblem(problem)
	return nil
}

// relayMessages writes the router's messages until the request ends. ended is
// false if the router still has to be told that nobody receives them.
func (rw *responseWriter) relayMessages(ctx context.Context) (ended bool, problem *Problem) {
	for {
		env, result := rw.mailbox.Next(ctx, rw.s.limits.KeepAliveInterval)
		switch result {
		case transport.Idle:
			if rw.started && !rw.write(": keep-alive\n\n") {
				return false, nil
			}
		case transport.Overflow:
			rw.s.metrics.callerAbandoned("slow")
			return false, newProblem(proto.CauseStreamBroken, proto.MayHaveRun, "The caller reads too slowly.")
		case transport.Closed, transport.Canceled:
			if ctx.Err() == context.DeadlineExceeded {
				return false, newProblem(proto.CauseDeadline, proto.MayHaveRun, "The router did not answer in time.")
			}
			rw.s.metrics.callerAbandoned("gone")
			return false, newProblem(proto.CauseCanceled, proto.MayHaveRun, "")
		case transport.Received:
			if done, ended, problem := rw.handleMessage(env.Msg); done {
				return ended, problem
			}
		}
	}
}

// handleMessage writes one message. done ends the response; requestEnded
// reports whether the router has ended the request.
func (rw *responseWriter) handleMessage(m proto.Message) (done, requestEnded bool, problem *Problem) {
	switch m := m.(type) {
	case proto.CallerChunk:
		if !rw.writeChunk(m) {
			rw.s.metrics.callerAbandoned("write")
			return true, false, nil
		}
		if rw.written > rw.s.limits.Response {
			return true, false, newProblem(proto.CauseTooLarge, proto.MayHaveRun, "The answer exceeds the limit of this router.").withStatus(http.StatusBadGateway)
		}
	case proto.CallerFinish:
		rw.s.metrics.requestEnded(rw.req.account, rw.req.Class, time.Since(rw.req.arrived), m.Usage)
		rw.writeFinish(m)
		return true, true, nil
	case proto.CallerRefusal:
		return true, true, refusalProblem(m)
	}
	return false, false, nil
}

// writeChunk writes a part of a stream, or collects it for a whole response.
// It reports false if the write failed.
func (rw *responseWriter) writeChunk(m proto.CallerChunk) bool {
	if rw.firstToken == 0 {
		rw.firstToken = time.Since(rw.req.arrived)
		rw.s.metrics.observeFirstToken(rw.req.account, rw.req.Class, rw.firstToken)
	}
	if m.Version != "" {
		rw.version = m.Version
	}
	rw.written += len(m.Text)
	if !rw.req.Stream {
		rw.text.WriteString(m.Text)
		return true
	}
	rw.startStream()
	return rw.writeEvent(EventID(rw.req.ID, rw.version, m.Seq), rw.completion(m.Text, nil, nil, true))
}

func (rw *responseWriter) startStream() {
	if rw.started {
		return
	}
	rw.started = true
	rw.w.Header().Set("Content-Type", "text/event-stream")
	rw.w.WriteHeader(http.StatusOK)
}

// writeEvent writes a server-sent event, without id if it is empty.
func (rw *responseWriter) writeEvent(id string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		return false
	}
	if id != "" {
		return rw.write("id: " + id + "\ndata: " + string(data) + "\n\n")
	}
	return rw.write("data: " + string(data) + "\n\n")
}

// write sends text to the caller within the write timeout.
func (rw *responseWriter) write(text string) bool {
	rw.s.extendWriteDeadline(rw.w)
	if _, err := rw.w.Write([]byte(text)); err != nil {
		return false
	}
	return rw.control.Flush() == nil
}

// writeStreamProblem ends a stream that has started with an error event.
func (rw *responseWriter) writeStreamProblem(p *Problem) {
	p.Request = rw.req.ID
	rw.s.metrics.requestRefused(p)
	rw.write("event: error\ndata: " + string(p.json()) + "\n\n")
}

func (rw *responseWriter) writeFinish(m proto.CallerFinish) {
	rw.s.extendWriteDeadline(rw.w)
	switch {
	case rw.req.Class == proto.ClassCall:
		rw.writeCallFinish(m)
	case rw.req.Stream:
		rw.startStream()
		rw.writeEvent("", rw.completion("", rw.finishReason(m), usageOf(m.Usage), true))
		rw.write("data: [DONE]\n\n")
	default:
		writeJSON(rw.w, rw.completion(rw.text.String(), rw.finishReason(m), usageOf(m.Usage), false))
	}
}

// writeCallFinish writes the response of a plain service. A status out of
// range becomes 502.
func (rw *responseWriter) writeCallFinish(m proto.CallerFinish) {
	status := m.Status
	if status == 0 {
		status = http.StatusOK
	}
	if status < 200 || status > 599 {
		status = http.StatusBadGateway
	}
	if m.ContentType != "" {
		rw.w.Header().Set("Content-Type", m.ContentType)
	}
	if m.Replayed {
		rw.w.Header().Set("Idempotency-Replayed", "true")
	}
	rw.w.WriteHeader(status)
	_, _ = rw.w.Write(m.Body)
}

func (rw *responseWriter) finishReason(m proto.CallerFinish) *string {
	reason := "stop"
	if m.Usage.CompletionTokens >= rw.req.MaxTokens {
		reason = "length"
	}
	return &reason
}

type usage struct {
	PromptTokens     int64         `json:"prompt_tokens"`
	CompletionTokens int64         `json:"completion_tokens"`
	TotalTokens      int64         `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

func usageOf(u proto.Usage) *usage {
	return &usage{
		PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens,
		TotalTokens: u.PromptTokens + u.CompletionTokens, Details: promptDetails{CachedTokens: u.CachedTokens},
	}
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *content `json:"delta,omitempty"`
	Message      *content `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      proto.RequestID `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Version string          `json:"system_fingerprint,omitempty"`
	Choices []choice        `json:"choices"`
	Usage   *usage          `json:"usage,omitempty"`
}

// completion returns a whole response or a chunk of a stream in the format of
// the API called: chat or text completion.
func (rw *responseWriter) completion(text string, reason *string, u *usage, isChunk bool) completion {
	out := completion{
		ID: rw.req.ID, Object: "text_completion", Created: rw.req.arrived.Unix(),
		Model: rw.req.Model, Version: rw.version, Usage: u,
	}
	ch := choice{FinishReason: reason}
	switch {
	case !rw.req.chat:
		ch.Text = &text
	case isChunk:
		out.Object = "chat.completion.chunk"
		ch.Delta = &content{Content: text}
	default:
		out.Object = "chat.completion"
		ch.Message = &content{Role: "assistant", Content: text}
	}
	out.Choices = []choice{ch}
	return out
}
