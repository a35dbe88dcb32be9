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
	a := &responseWriter{s: s, w: w, control: http.NewResponseController(w), req: req, mailbox: mailbox}
	ctx, cancel := context.WithTimeout(r.Context(), req.Timeout+responseGrace)
	defer cancel()
	ended, problem := a.relayMessages(ctx)
	s.router.EndRequest(req.ID, !ended)
	if problem == nil || !a.started {
		return problem
	}
	a.writeStreamProblem(problem)
	return nil
}

// relayMessages writes the router's messages until the request ends. ended is
// false if the router still has to be told that nobody receives them.
func (a *responseWriter) relayMessages(ctx context.Context) (ended bool, problem *Problem) {
	for {
		env, result := a.mailbox.Next(ctx, a.s.limits.KeepAliveInterval)
		switch result {
		case transport.Idle:
			if a.started && !a.write(": keep-alive\n\n") {
				return false, nil
			}
		case transport.Overflow:
			a.s.metrics.callerAbandoned("slow")
			return false, newProblem(proto.CauseStreamBroken, proto.MayHaveRun, "The caller reads too slowly.")
		case transport.Closed, transport.Canceled:
			if ctx.Err() == context.DeadlineExceeded {
				return false, newProblem(proto.CauseDeadline, proto.MayHaveRun, "The router did not answer in time.")
			}
			a.s.metrics.callerAbandoned("gone")
			return false, newProblem(proto.CauseCanceled, proto.MayHaveRun, "")
		case transport.Received:
			if done, ended, problem := a.handleMessage(env.Msg); done {
				return ended, problem
			}
		}
	}
}

// handleMessage writes one message. done ends the response; requestEnded
// reports whether the router has ended the request.
func (a *responseWriter) handleMessage(m proto.Message) (done, requestEnded bool, problem *Problem) {
	switch m := m.(type) {
	case proto.CallerChunk:
		if !a.writeChunk(m) {
			a.s.metrics.callerAbandoned("write")
			return true, false, nil
		}
		if a.written > a.s.limits.Response {
			return true, false, newProblem(proto.CauseTooLarge, proto.MayHaveRun, "The answer exceeds the limit of this router.").withStatus(http.StatusBadGateway)
		}
	case proto.CallerFinish:
		a.s.metrics.requestEnded(a.req.account, a.req.Class, time.Since(a.req.arrived), m.Usage)
		a.writeFinish(m)
		return true, true, nil
	case proto.CallerRefusal:
		return true, true, refusalProblem(m)
	}
	return false, false, nil
}

// writeChunk writes a part of a stream, or collects it for a whole response.
// It reports false if the write failed.
func (a *responseWriter) writeChunk(m proto.CallerChunk) bool {
	if a.firstToken == 0 {
		a.firstToken = time.Since(a.req.arrived)
		a.s.metrics.observeFirstToken(a.req.account, a.req.Class, a.firstToken)
	}
	if m.Version != "" {
		a.version = m.Version
	}
	a.written += len(m.Text)
	if !a.req.Stream {
		a.text.WriteString(m.Text)
		return true
	}
	a.startStream()
	return a.writeEvent(EventID(a.req.ID, a.version, m.Seq), a.completion(m.Text, nil, nil, true))
}

func (a *responseWriter) startStream() {
	if a.started {
		return
	}
	a.started = true
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
}

// writeEvent writes a server-sent event, without id if it is empty.
func (a *responseWriter) writeEvent(id string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		return false
	}
	if id != "" {
		return a.write("id: " + id + "\ndata: " + string(data) + "\n\n")
	}
	return a.write("data: " + string(data) + "\n\n")
}

// write sends text to the caller within the write timeout.
func (a *responseWriter) write(text string) bool {
	a.s.extendWriteDeadline(a.w)
	if _, err := a.w.Write([]byte(text)); err != nil {
		return false
	}
	return a.control.Flush() == nil
}

// writeStreamProblem ends a stream that has started with an error event.
func (a *responseWriter) writeStreamProblem(p *Problem) {
	p.Request = a.req.ID
	a.s.metrics.requestRefused(p)
	a.write("event: error\ndata: " + string(p.json()) + "\n\n")
}

func (a *responseWriter) writeFinish(m proto.CallerFinish) {
	a.s.extendWriteDeadline(a.w)
	switch {
	case a.req.Class == proto.ClassCall:
		a.writeCallFinish(m)
	case a.req.Stream:
		a.startStream()
		a.writeEvent("", a.completion("", a.finishReason(m), usageOf(m.Usage), true))
		a.write("data: [DONE]\n\n")
	default:
		writeJSON(a.w, a.completion(a.text.String(), a.finishReason(m), usageOf(m.Usage), false))
	}
}

// writeCallFinish writes the response of a plain service. A status out of
// range becomes 502.
func (a *responseWriter) writeCallFinish(m proto.CallerFinish) {
	status := m.Status
	if status == 0 {
		status = http.StatusOK
	}
	if status < 200 || status > 599 {
		status = http.StatusBadGateway
	}
	if m.ContentType != "" {
		a.w.Header().Set("Content-Type", m.ContentType)
	}
	if m.Replayed {
		a.w.Header().Set("Idempotency-Replayed", "true")
	}
	a.w.WriteHeader(status)
	_, _ = a.w.Write(m.Body)
}

func (a *responseWriter) finishReason(m proto.CallerFinish) *string {
	reason := "stop"
	if m.Usage.CompletionTokens >= a.req.MaxTokens {
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
func (a *responseWriter) completion(text string, reason *string, u *usage, isChunk bool) completion {
	out := completion{
		ID: a.req.ID, Object: "text_completion", Created: a.req.arrived.Unix(),
		Model: a.req.Model, Version: a.version, Usage: u,
	}
	ch := choice{FinishReason: reason}
	switch {
	case !a.req.chat:
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
