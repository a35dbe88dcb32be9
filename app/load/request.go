package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/kumquatsill/kumquatsill/app/api"
	"github.com/kumquatsill/kumquatsill/app/httpconn"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/workload"
)

const (
	// maxLineSize and maxResponseSize bound the memory that the response of a
	// router can take, in bytes.
	maxLineSize     = 1 << 20
	maxResponseSize = 16 << 20
)

// Causes that the load generator itself assigns, in addition to those of routers.
const (
	// CauseUnreachable means that no response arrived, or only a part of its head.
	CauseUnreachable proto.Cause = "router-unreachable"
	// CauseMalformedResponse means that a response does not have the documented form.
	CauseMalformedResponse proto.Cause = "malformed-answer"
	// CauseIncompleteStream means that a stream ended early or had a gap.
	CauseIncompleteStream proto.Cause = "stream-incomplete"
)

// result is what the caller observed of one request. Times are relative to the
// start of the run.
type result struct {
	arrival             workload.Arrival
	router              string
	sent, firstToken    time.Duration
	end                 time.Duration
	hasFirstToken       bool
	usage               proto.Usage
	hasUsage            bool
	cause               proto.Cause
	verdict             proto.Verdict
	interrupted         bool
	responded, replayed bool
	status              int
}

// refuse records that the request failed or was refused.
func (res *result) refuse(cause proto.Cause, verdict proto.Verdict) {
	res.cause, res.verdict = cause, verdict
}

// completionRequest is the JSON body of a text completion.
type completionRequest struct {
	Model       string `json:"model"`
	Prompt      string `json:"prompt"`
	MaxTokens   int64  `json:"max_tokens"`
	Stream      bool   `json:"stream"`
	Temperature int    `json:"temperature"`
}

// sendRequest sends one request and reads the whole response.
func (r *runner) sendRequest(ctx context.Context, a workload.Arrival, router string) result {
	res := result{arrival: a, router: router}
	req, err := r.newRequest(ctx, a, router)
	if err != nil {
		res.refuse(CauseUnreachable, proto.NotRun)
		return res
	}
	limited, cancel := context.WithTimeout(ctx, a.Request.Timeout+responseGrace)
	defer cancel()
	res.sent = time.Since(r.start)
	response, err := r.client.Do(req.WithContext(limited))
	if err != nil {
		res.refuse(errorCause(err), errorVerdict(err))
	} else {
		res.responded, res.status = true, response.StatusCode
		r.readResponse(response, &res)
		_ = response.Body.Close()
	}
	res.end = time.Since(r.start)
	res.interrupted = ctx.Err() != nil && (res.cause == CauseUnreachable || res.cause == CauseMalformedResponse || res.cause == CauseIncompleteStream)
	return res
}

// errorCause returns the cause of a request that has got no valid head of a response.
func errorCause(err error) proto.Cause {
	var headErr *httpconn.HeadError
	if errors.As(err, &headErr) {
		return CauseMalformedResponse
	}
	return CauseUnreachable
}

// errorVerdict returns not_run only if no connection was established.
func errorVerdict(err error) proto.Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return proto.NotRun
	}
	return proto.MayHaveRun
}

func (r *runner) newRequest(ctx context.Context, a workload.Arrival, router string) (*http.Request, error) {
	q := a.Request
	body := q.Body
	if q.Class == proto.ClassGenerate {
		var err error
		body, err = json.Marshal(completionRequest{Model: q.Model, Prompt: a.Prompt(), MaxTokens: q.MaxTokens, Stream: true})
		if err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, q.Method, router+q.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// net/http retries a request with an Idempotency-Key when the connection
	// breaks. Without GetBody it cannot, so that each order is sent once.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+r.cfg.Keys[a.Account])
	req.Header.Set("X-Request-Id", r.id+"-"+string(q.ID))
	req.Header.Set("X-Request-Timeout", q.Timeout.String())
	if q.ContentType != "" {
		req.Header.Set("Content-Type", q.ContentType)
	}
	if q.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.id+"-"+q.IdempotencyKey)
	}
	return req, nil
}

func (r *runner) readResponse(response *http.Response, res *result) {
	media, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	body := io.LimitReader(response.Body, maxResponseSize)
	res.replayed = response.Header.Get("Idempotency-Replayed") == "true"
	switch {
	case media == "application/problem+json":
		data, err := io.ReadAll(body)
		if err != nil {
			res.refuse(CauseMalformedResponse, proto.MayHaveRun)
			return
		}
		readProblem(data, res)
	case res.arrival.Request.Class == proto.ClassCall:
		if _, err := io.Copy(io.Discard, body); err != nil {
			res.refuse(CauseIncompleteStream, proto.MayHaveRun)
		}
	case media == "text/event-stream" && response.StatusCode == http.StatusOK:
		r.readStream(body, res)
	default:
		res.refuse(CauseMalformedResponse, proto.MayHaveRun)
	}
}

func readProblem(data []byte, res *result) {
	var p api.Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Cause() == "" {
		res.refuse(CauseMalformedResponse, proto.MayHaveRun)
		return
	}
	res.refuse(p.Cause(), p.Verdict)
}

// streamChunk is the part of a stream event from which the measures are taken.
type streamChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
		Details          struct {
			CachedTokens int64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// readStream reads server-sent events. A stream is complete if its events are
// numbered without a gap and it ends with "[DONE]".
func (r *runner) readStream(body io.Reader, res *result) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineSize)
	var next proto.Seq = 1
	failed := false
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "event":
			failed = value == "error"
		case "id":
			point, problem := api.ParseEventID(value)
			if problem != nil || point.After != next {
				res.refuse(CauseIncompleteStream, proto.MayHaveRun)
				return
			}
			next++
		case "data":
			if failed {
				readProblem([]byte(value), res)
				return
			}
			if value == "[DONE]" {
				return
			}
			if !r.readChunk(value, res) {
				res.refuse(CauseMalformedResponse, proto.MayHaveRun)
				return
			}
		}
	}
	res.refuse(CauseIncompleteStream, proto.MayHaveRun)
}

// readChunk takes the time to first token and the usage from an event. It
// reports false for malformed data.
func (r *runner) readChunk(data string, res *result) bool {
	var c streamChunk
	if json.Unmarshal([]byte(data), &c) != nil {
		return false
	}
	if !res.hasFirstToken && len(c.Choices) > 0 && c.Choices[0].Text != "" {
		res.firstToken, res.hasFirstToken = time.Since(r.start), true
	}
	if u := c.Usage; u != nil {
		res.usage = proto.Usage{PromptTokens: u.PromptTokens, CachedTokens: u.Details.CachedTokens, CompletionTokens: u.CompletionTokens}
		res.hasUsage = true
	}
	return true
}
