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

// answer writes what the router says about one request.
type answer struct {
	s       *Server
	w       http.ResponseWriter
	control *http.ResponseController
	req     *request
	box     *transport.Mailbox
	// started is set once the status line of a stream is written.
	started bool
	version string
	text    strings.Builder
	written int
	first   time.Duration
}

// run submits a request and writes its answer. A returned problem has not
// been written yet.
func (s *Server) run(w http.ResponseWriter, r *http.Request, req *request) *Problem {
	box, ok := s.router.Submit(req.CallerRequest, s.limits.Buffer)
	if !ok {
		s.router.EndRequest(req.ID, false)
		return newProblem(proto.CauseShuttingDown, proto.NotRun, "").withRetry(time.Second)
	}
	a := &answer{s: s, w: w, control: http.NewResponseController(w), req: req, box: box}
	ctx, cancel := context.WithTimeout(r.Context(), req.Timeout+answerGrace)
	defer cancel()
	ended, problem := a.loop(ctx)
	s.router.EndRequest(req.ID, !ended)
	if problem == nil || !a.started {
		return problem
	}
	a.streamProblem(problem)
	return nil
}

// loop writes until the request ends. ended is false if the router must still
// be told that nobody listens.
func (a *answer) loop(ctx context.Context) (ended bool, problem *Problem) {
	for {
		env, result := a.box.Next(ctx, a.s.limits.KeepAliveInterval)
		switch result {
		case transport.Idle:
			if a.started && !a.write(": keep-alive\n\n") {
				return false, nil
			}
		case transport.Overflow:
			a.s.metrics.abandoned("slow")
			return false, newProblem(proto.CauseStreamBroken, proto.MayHaveRun, "The caller reads too slowly.")
		case transport.Closed, transport.Canceled:
			if ctx.Err() == context.DeadlineExceeded {
				return false, newProblem(proto.CauseDeadline, proto.MayHaveRun, "The router did not answer in time.")
			}
			a.s.metrics.abandoned("gone")
			return false, newProblem(proto.CauseCanceled, proto.MayHaveRun, "")
		case transport.Received:
			if done, ended, problem := a.message(env.Msg); done {
				return ended, problem
			}
		}
	}
}

func (a *answer) message(m proto.Message) (done, ended bool, problem *Problem) {
	switch m := m.(type) {
	case proto.CallerChunk:
		if !a.chunk(m) {
			a.s.metrics.abandoned("write")
			return true, false, nil
		}
		if a.written > a.s.limits.Response {
			return true, false, newProblem(proto.CauseTooLarge, proto.MayHaveRun, "The answer exceeds the limit of this router.").withStatus(http.StatusBadGateway)
		}
	case proto.CallerFinish:
		a.s.metrics.ended(a.req.account, a.req.Class, time.Since(a.req.arrived), m.Usage)
		a.finish(m)
		return true, true, nil
	case proto.CallerRefusal:
		return true, true, refusalProblem(m)
	}
	return false, false, nil
}

func (a *answer) chunk(m proto.CallerChunk) bool {
	if a.first == 0 {
		a.first = time.Since(a.req.arrived)
		a.s.metrics.firstToken(a.req.account, a.req.Class, a.first)
	}
	if m.Version != "" {
		a.version = m.Version
	}
	a.written += len(m.Text)
	if !a.req.Stream {
		a.text.WriteString(m.Text)
		return true
	}
	a.start()
	return a.event(EventID(a.req.ID, a.version, m.Seq), a.completion(m.Text, nil, nil, true))
}

func (a *answer) start() {
	if a.started {
		return
	}
	a.started = true
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
}

func (a *answer) event(id string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		return false
	}
	if id != "" {
		return a.write("id: " + id + "\ndata: " + string(data) + "\n\n")
	}
	return a.write("data: " + string(data) + "\n\n")
}

// write sends text to the caller within the time limit for writes.
func (a *answer) write(text string) bool {
	a.s.limitWrite(a.w)
	if _, err := a.w.Write([]byte(text)); err != nil {
		return false
	}
	return a.control.Flush() == nil
}

func (a *answer) streamProblem(p *Problem) {
	p.Request = a.req.ID
	a.s.metrics.refused(p)
	a.write("event: error\ndata: " + string(p.json()) + "\n\n")
}

func (a *answer) finish(m proto.CallerFinish) {
	a.s.limitWrite(a.w)
	switch {
	case a.req.Class == proto.ClassCall:
		a.finishCall(m)
	case a.req.Stream:
		a.start()
		a.event("", a.completion("", a.finishReason(m), usageOf(m.Usage), true))
		a.write("data: [DONE]\n\n")
	default:
		writeJSON(a.w, a.completion(a.text.String(), a.finishReason(m), usageOf(m.Usage), false))
	}
}

func (a *answer) finishCall(m proto.CallerFinish) {
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

func (a *answer) finishReason(m proto.CallerFinish) *string {
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

// completion returns an answer or a part of it in the form of the path called.
func (a *answer) completion(text string, reason *string, u *usage, part bool) completion {
	out := completion{
		ID: a.req.ID, Object: "text_completion", Created: a.req.arrived.Unix(),
		Model: a.req.Model, Version: a.version, Usage: u,
	}
	ch := choice{FinishReason: reason}
	switch {
	case !a.req.chat:
		ch.Text = &text
	case part:
		out.Object = "chat.completion.chunk"
		ch.Delta = &content{Content: text}
	default:
		out.Object = "chat.completion"
		ch.Message = &content{Role: "assistant", Content: text}
	}
	out.Choices = []choice{ch}
	return out
}
