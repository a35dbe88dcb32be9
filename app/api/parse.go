package api

import (
	"encoding/json"
	"math"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// PieceTokens is the length of a hashed prompt piece in tokens.
	// BytesPerToken is the estimated length of a token.
	PieceTokens   = 2048
	BytesPerToken = 4
	pieceBytes    = PieceTokens * BytesPerToken

	defaultMaxTokens  = 256
	maxTokensLimit    = 1 << 20
	maxRequestID      = 64
	maxIdempotencyKey = 255
	maxModelName      = 200
)

func badRequest(detail string) *Problem {
	return newProblem(proto.CauseBadRequest, proto.NotRun, detail)
}

// fields is a JSON object. As a map it has unique field names, which are
// matched case-sensitively.
type fields map[string]json.RawMessage

// decode decodes a field if it is present and not null. kind describes the
// expected type in the error.
func (f fields) decode(name string, into any, kind string) *Problem {
	raw, ok := f[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return badRequest("Field \"" + name + "\" must be " + kind + ".")
	}
	return nil
}

// ParseGenerate fills req from the JSON body of a chat or text completion.
// req.Body is the parsed object encoded again without keys, so that no parser
// further on can interpret it differently.
func ParseGenerate(body []byte, chat bool, req *proto.CallerRequest) *Problem {
	var f fields
	if err := json.Unmarshal(body, &f); err != nil || f == nil {
		return badRequest("The body is not a JSON object.")
	}
	for name := range f {
		if isKeyField(name) {
			delete(f, name)
		}
	}
	if problem := parseParameters(f, req); problem != nil {
		return problem
	}
	prompt, problem := parsePrompt(f, chat)
	if problem != nil {
		return problem
	}
	req.Class = proto.ClassGenerate
	req.ContentType = "application/json"
	req.PromptTokens = EstimateTokens(len(prompt))
	req.Pieces = Pieces(prompt)
	canonical, err := json.Marshal(f)
	if err != nil {
		return badRequest("The body cannot be written as JSON.")
	}
	req.Body = canonical
	return nil
}

// parseParameters decodes and checks the model and the generation parameters.
func parseParameters(f fields, req *proto.CallerRequest) *Problem {
	temperature, n := 1.0, 1
	maxTokens := int64(defaultMaxTokens)
	for _, field := range []struct {
		name, kind string
		into       any
	}{
		{"model", "a string", &req.Model},
		{"adapter", "a string", &req.Adapter},
		{"stream", "true or false", &req.Stream},
		{"temperature", "a number", &temperature},
		{"seed", "an integer", &req.Sampling.Seed},
		{"n", "an integer", &n},
		{"max_tokens", "an integer", &maxTokens},
		{"max_completion_tokens", "an integer", &maxTokens},
	} {
		if problem := f.decode(field.name, field.into, field.kind); problem != nil {
			return problem
		}
	}
	switch {
	case req.Model == "" || len(req.Model) > maxModelName:
		return badRequest("Field \"model\" must name a model.")
	case temperature < 0 || temperature > 2 || math.IsNaN(temperature):
		return badRequest("Field \"temperature\" must be from 0 to 2.")
	case n != 1:
		return badRequest("Field \"n\" must be 1.")
	case maxTokens < 1 || maxTokens > maxTokensLimit:
		return badRequest("Field \"max_tokens\" must be from 1 to " + strconv.Itoa(maxTokensLimit) + ".")
	}
	req.Sampling.Temperature = temperature
	req.MaxTokens = maxTokens
	return nil
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parsePrompt returns the text from which prefixes are hashed: the prompt, or
// for a chat the tools followed by the messages in order.
func parsePrompt(f fields, chat bool) ([]byte, *Problem) {
	if !chat {
		var prompt *string
		if problem := f.decode("prompt", &prompt, "a string"); problem != nil {
			return nil, problem
		}
		if prompt == nil {
			return nil, badRequest("Field \"prompt\" is missing.")
		}
		return []byte(*prompt), nil
	}
	var messages []chatMessage
	if problem := f.decode("messages", &messages, "a list of messages"); problem != nil {
		return nil, problem
	}
	if len(messages) == 0 {
		return nil, badRequest("Field \"messages\" must have at least one message.")
	}
	text := append([]byte{}, f["tools"]...)
	for _, m := range messages {
		if m.Role == "" {
			return nil, badRequest("Each message must have a \"role\".")
		}
		text = append(text, m.Role...)
		text = append(text, '\n')
		text = append(text, contentText(m.Content)...)
		text = append(text, '\n')
	}
	return text, nil
}

// contentText returns the text of a string, or any other content as raw JSON.
func contentText(raw json.RawMessage) []byte {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return []byte(text)
	}
	return raw
}

// EstimateTokens estimates the number of tokens of a text of n bytes.
func EstimateTokens(n int) int64 { return int64((n + BytesPerToken - 1) / BytesPerToken) }

// Pieces returns the hash of each complete piece of PieceTokens tokens of a
// prompt.
func Pieces(prompt []byte) []uint64 {
	var pieces []uint64
	for ; len(prompt) >= pieceBytes; prompt = prompt[pieceBytes:] {
		pieces = append(pieces, xxhash.Sum64(prompt[:pieceBytes]))
	}
	return pieces
}

// parseCall fills req for a call to a plain service.
func parseCall(r *http.Request, body []byte, req *proto.CallerRequest) *Problem {
	req.Class = proto.ClassCall
	req.Body = body
	req.PromptTokens = EstimateTokens(len(body))
	contentType := r.Header.Get("Content-Type")
	if contentType == "" {
		return nil
	}
	media, params, err := mime.ParseMediaType(contentType)
	if err != nil {
		return badRequest("The Content-Type cannot be parsed.")
	}
	req.ContentType = mime.FormatMediaType(media, params)
	return nil
}

// EventID returns the id of a stream event, which a caller sends back in
// Last-Event-ID to resume the stream.
func EventID(request proto.RequestID, version string, seq proto.Seq) string {
	return string(request) + ":" + version + ":" + strconv.FormatInt(int64(seq), 10)
}

// ParseEventID is the inverse of EventID.
func ParseEventID(id string) (proto.ResumePoint, *Problem) {
	malformed := badRequest("The Last-Event-ID must have the form REQUEST:VERSION:NUMBER.")
	first, last := strings.IndexByte(id, ':'), strings.LastIndexByte(id, ':')
	if first <= 0 || last <= first || !isVisibleASCII(id) || len(id) > 2*maxModelName {
		return proto.ResumePoint{}, malformed
	}
	seq, err := strconv.ParseInt(id[last+1:], 10, 64)
	if err != nil || seq < 0 {
		return proto.ResumePoint{}, malformed
	}
	return proto.ResumePoint{
		Request: proto.RequestID(id[:first]), Version: id[first+1 : last], After: proto.Seq(seq),
	}, nil
}

// parseHeaders sets the resume point, idempotency key and timeout from the headers.
func parseHeaders(h http.Header, limits Limits, req *proto.CallerRequest) *Problem {
	if id := h.Get("Last-Event-ID"); id != "" {
		point, problem := ParseEventID(id)
		if problem != nil {
			return problem
		}
		req.Resume = &point
	}
	req.IdempotencyKey = h.Get("Idempotency-Key")
	if len(req.IdempotencyKey) > maxIdempotencyKey || !isVisibleASCII(req.IdempotencyKey) {
		return badRequest("The Idempotency-Key must be up to " + strconv.Itoa(maxIdempotencyKey) + " visible ASCII characters.")
	}
	req.Timeout = limits.Timeout
	if text := h.Get("X-Request-Timeout"); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			return badRequest("The X-Request-Timeout must be a positive duration such as 30s.")
		}
		req.Timeout = min(timeout, limits.MaxTimeout)
	}
	return nil
}

// validRequestID reports whether a caller's X-Request-Id is acceptable.
func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestID {
		return false
	}
	for i := range len(id) {
		c := id[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}
