package api

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// problemType is the prefix of the problem type URIs; the cause follows it.
const problemType = "urn:kumquatsill:problem:"

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type    string          `json:"type"`
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Detail  string          `json:"detail,omitempty"`
	Verdict proto.Verdict   `json:"verdict"`
	Request proto.RequestID `json:"request_id,omitempty"`
	// RetryAfter is in seconds.
	RetryAfter int `json:"retry_after,omitempty"`

	cause proto.Cause
	limit *proto.LimitState
}

type problemKind struct {
	status int
	title  string
}

// problemKinds maps each cause to its HTTP status and title.
var problemKinds = map[proto.Cause]problemKind{
	proto.CauseBadRequest:     {http.StatusBadRequest, "The request is malformed."},
	proto.CauseUnknownRoute:   {http.StatusNotFound, "No route serves this method and path."},
	proto.CauseUnknownModel:   {http.StatusNotFound, "No such model is served."},
	proto.CauseMissingKey:     {http.StatusUnauthorized, "The request carries no key."},
	proto.CauseUnknownKey:     {http.StatusUnauthorized, "The key is not known."},
	proto.CauseKeyWithdrawn:   {http.StatusUnauthorized, "The key was withdrawn."},
	proto.CauseRateLimited:    {http.StatusTooManyRequests, "The client account is above its rate and burst."},
	proto.CauseTooLarge:       {http.StatusRequestEntityTooLarge, "The request is too large."},
	proto.CauseNotReady:       {http.StatusServiceUnavailable, "The router is not ready."},
	proto.CauseStale:          {http.StatusServiceUnavailable, "The router's configuration is not fresh."},
	proto.CauseShuttingDown:   {http.StatusServiceUnavailable, "The router is shutting down."},
	proto.CauseNoEndpoint:     {http.StatusServiceUnavailable, "No endpoint can take the request."},
	proto.CauseOverload:       {http.StatusServiceUnavailable, "The fleet is overloaded."},
	proto.CauseDeadline:       {http.StatusGatewayTimeout, "The deadline passed."},
	proto.CauseEndpointFailed: {http.StatusBadGateway, "The endpoint failed."},
	proto.CauseStreamBroken:   {http.StatusBadGateway, "The stream broke and cannot be continued."},
	proto.CauseNotResumable:   {http.StatusConflict, "The stream cannot be continued exactly."},
	proto.CauseLogUnavailable: {http.StatusServiceUnavailable, "The log service is not reachable."},
	proto.CauseDuplicate:      {http.StatusConflict, "The request was sent before."},
	proto.CauseKeyTooOld:      {http.StatusConflict, "The idempotency key is too old."},
	proto.CauseKeyReused:      {http.StatusUnprocessableEntity, "The idempotency key was used for another request."},
	proto.CauseMissingIdemKey: {http.StatusBadRequest, "The call may not be repeated and needs an Idempotency-Key."},
	proto.CauseQuarantined:    {http.StatusUnprocessableEntity, "The request crashed endpoints and is in quarantine."},
	// 499 is the customary status for a client that closed the connection.
	proto.CauseCanceled:     {499, "The request was canceled."},
	proto.CauseWrongVersion: {http.StatusConflict, "The model version is not the one asked for."},
	proto.CauseSuspected:    {http.StatusServiceUnavailable, "The request is suspected of crashing endpoints and has to wait."},
	proto.CauseLeaving:      {http.StatusServiceUnavailable, "The endpoint is leaving."},
}

// newProblem returns the problem document of a refusal. The verdict has no
// default, so that each use states it.
func newProblem(cause proto.Cause, verdict proto.Verdict, detail string) *Problem {
	k, ok := problemKinds[cause]
	if !ok {
		k = problemKind{http.StatusBadGateway, "The request failed."}
	}
	return &Problem{
		Type: problemType + string(cause), Title: k.title, Status: k.status,
		Detail: detail, Verdict: verdict, cause: cause,
	}
}

// Error implements error.
func (p *Problem) Error() string { return p.Title + " " + p.Detail }

// withStatus replaces the status of the cause by a more specific one.
func (p *Problem) withStatus(status int) *Problem {
	p.Status = status
	return p
}

// withRetry sets the retry time, rounded up to whole seconds.
func (p *Problem) withRetry(after time.Duration) *Problem {
	if after > 0 {
		p.RetryAfter = max(1, int(math.Ceil(after.Seconds())))
	}
	return p
}

// refusalProblem converts a refusal of the router.
func refusalProblem(r proto.CallerRefusal) *Problem {
	p := newProblem(r.Cause, r.Verdict, r.Detail).withRetry(r.RetryAfter)
	p.limit = r.Limit
	return p
}

func (p *Problem) write(w http.ResponseWriter) {
	h := w.Header()
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(p.RetryAfter))
	}
	if p.limit != nil {
		h.Set("X-Ratelimit-Limit-Tokens", strconv.FormatInt(p.limit.Burst, 10))
		h.Set("X-Ratelimit-Remaining-Tokens", strconv.FormatInt(p.limit.Remaining, 10))
		h.Set("X-Ratelimit-Reset-Tokens", p.limit.Reset.Round(time.Millisecond).String())
	}
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	h.Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_, _ = w.Write(p.json())
}

func (p *Problem) json() []byte {
	data, err := json.Marshal(p)
	if err != nil {
		return []byte(`{"type":"` + problemType + `internal"}`)
	}
	return data
}

// Cause returns the cause encoded in the type URI, or "" for a foreign type.
func (p *Problem) Cause() proto.Cause {
	cause, ok := strings.CutPrefix(p.Type, problemType)
	if !ok {
		return ""
	}
	return proto.Cause(cause)
}
