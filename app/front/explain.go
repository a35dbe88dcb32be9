package front

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/canary"
	"github.com/kumquatsill/kumquatsill/core/locality"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/relay"
	"github.com/kumquatsill/kumquatsill/platform"
	"github.com/uptrace/bunrouter"
)

const (
	// ExplainPath is where the readiness and metrics listeners explain a request.
	ExplainPath = "/explain"
	// maxExplainBytes limits the description of a request, with its body in base64. The
	// smallest hosts have some 100 MB of memory.
	maxExplainBytes = 1 << 20
	// explainReadTimeout limits the time in which the description arrives.
	explainReadTimeout = 5 * time.Second
	// maxExplaining is the number of descriptions that are handled at the same time, as
	// each may hold maxExplainBytes.
	maxExplaining = 1
)

// ExplainRequest describes a request to be explained.
type ExplainRequest struct {
	Method string      `json:"method"`
	Host   string      `json:"host"`
	Path   string      `json:"path"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body,omitempty"`
}

// check brings the names of the headers into their usual form, and returns what is wrong with
// the description, or "". It names no values, as headers hold keys.
func (e *ExplainRequest) check() string {
	switch {
	case e.Host == "":
		return "the host is missing"
	case !strings.HasPrefix(e.Path, "/"):
		return "the path does not begin with /"
	case e.Method == "":
		return "the method is missing"
	}
	header := http.Header{}
	for name, values := range e.Header {
		for _, value := range values {
			header.Add(name, value)
		}
	}
	e.Header = header
	if _, err := platform.DecodeRequest(header); err != nil {
		return err.Error()
	}
	return ""
}

// Explanation tells what a router would do with a request now and why. It holds no keys.
// Ages are -1 if the router has no such data.
type Explanation struct {
	Router   string       `json:"router"`
	Domain   proto.Domain `json:"domain"`
	Revision int64        `json:"revision"`
	// ConfigAgeMillis is the time since the operator's records were last read.
	ConfigAgeMillis int64             `json:"config_age_ms"`
	Route           *ExplainedRoute   `json:"route"`
	Account         *ExplainedAccount `json:"account"`
	Refusal         *ExplainedRefusal `json:"refusal"`
	// Release tells which releases of the service the request may be sent to. It is nil
	// without bounds for rollouts.
	Release    *canary.PermitView `json:"release"`
	Endpoint   proto.EndpointID   `json:"endpoint"`
	DomainCost ExplainedDomains   `json:"domain_cost"`
	Candidates []ExplainCandidate `json:"candidates"`
}

// ExplainedRoute is the route of an explained request.
type ExplainedRoute struct {
	Name         string `json:"name"`
	Service      string `json:"service"`
	Rank         int    `json:"rank"`
	TargetMillis int64  `json:"target_ms"`
	LimitMillis  int64  `json:"time_limit_ms"`
	// AdmittedFraction is the part of the requests of the rank that is admitted.
	AdmittedFraction float64 `json:"admitted_fraction"`
}

// ExplainedAccount is the account of an explained request, what the request costs, and what
// its limit has left at this router.
type ExplainedAccount struct {
	ID      proto.AccountID `json:"id"`
	Units   int64           `json:"units"`
	Balance int64           `json:"balance"`
	Share   float64         `json:"share"`
	// Returning is set if the request counts as one that was refused before. Promised is set
	// if the time of a refusal would be promised, beside that many other promises.
	Returning bool `json:"returning"`
	Promised  bool `json:"promised"`
	Promises  int  `json:"promises"`
}

// ExplainedRefusal is the refusal of an explained request.
type ExplainedRefusal struct {
	Status           int    `json:"status"`
	Reason           string `json:"reason"`
	RetryAfterMillis int64  `json:"retry_after_ms"`
}

// ExplainedDomains tells how the cost of leaving the failure domain is set.
type ExplainedDomains struct {
	Mode      string          `json:"mode"`
	LeavesFor proto.Domain    `json:"leaves_for"`
	Loads     []locality.View `json:"loads"`
}

// ExplainCandidate is an endpoint of the service. The costs, in milliseconds, sum up to Cost.
type ExplainCandidate struct {
	Endpoint proto.EndpointID `json:"endpoint"`
	Domain   proto.Domain     `json:"domain"`
	Version  int64            `json:"version"`
	// Excluded is why the endpoint cannot take the request, or "".
	Excluded   string             `json:"excluded"`
	WaitMillis int64              `json:"excluded_for_ms"`
	LastResort bool               `json:"last_resort"`
	Cost       float64            `json:"cost_ms"`
	Costs      map[string]float64 `json:"costs_ms"`
	// ExpectedMillis is the expected time to the first byte.
	ExpectedMillis float64 `json:"expected_ms"`
	// TokenMicros is the time expected for a prompt token, Slowdown the factor of the
	// endpoint's slowdown in it, 0 if that does not count. MemoryWaitMillis is the expected
	// time until the request fits the endpoint's memory.
	TokenMicros      float64          `json:"token_us"`
	Slowdown         float64          `json:"slowdown"`
	MemoryWaitMillis float64          `json:"memory_wait_ms"`
	InFlight         int              `json:"in_flight"`
	OthersInFlight   int              `json:"others_in_flight"`
	Slots            int              `json:"slots"`
	CachedTokens     int64            `json:"cached_tokens"`
	FetchedTokens    int64            `json:"fetched_tokens"`
	RecomputedTokens int64            `json:"recomputed_tokens"`
	Source           string           `json:"source"`
	AgesMillis       map[string]int64 `json:"ages_ms"`
}

// explainer handles requests for explanations.
type explainer struct {
	front *Front
	slots chan struct{}
}

func newExplainer(f *Front) *explainer {
	return &explainer{front: f, slots: make(chan struct{}, maxExplaining)}
}

// handle explains the request that is described by the body. Its errors name no values.
func (e *explainer) handle(w http.ResponseWriter, r bunrouter.Request) error {
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	default:
		http.Error(w, "another request is being explained", http.StatusServiceUnavailable)
		return nil
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(explainReadTimeout)) // without it the size is still bounded
	var described ExplainRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxExplainBytes))
	decoder.DisallowUnknownFields()
	if decoder.Decode(&described) != nil {
		http.Error(w, "the body is not the description of a request, or larger than 1 MiB", http.StatusBadRequest)
		return nil
	}
	if problem := described.check(); problem != "" {
		http.Error(w, problem, http.StatusBadRequest)
		return nil
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(e.front.explain(&described))
}

// preview holds the refusal of a request that is only explained.
type preview struct{ refusal *ExplainedRefusal }

// refuse records a refusal; the first one counts. It returns false.
func (p *preview) refuse(status int, reason string, retryAfter time.Duration) bool {
	if p.refusal == nil {
		p.refusal = &ExplainedRefusal{Status: status, Reason: reason, RetryAfterMillis: retryAfter.Milliseconds()}
	}
	return false
}

// explain returns what would happen to a request now. It takes the steps of admit and
// beginAttempt, with the same decisions, but changes nothing.
func (f *Front) explain(e *ExplainRequest) *Explanation {
	now := driver.Now()
	x := &request{
		front: f, arrived: now, log: f.log, preview: &preview{}, body: body{segments: [][]byte{e.Body}, size: int64(len(e.Body))},
		r: &http.Request{Method: e.Method, Host: e.Host, RequestURI: e.Path, Header: e.Header, ContentLength: int64(len(e.Body))},
	}
	out := &Explanation{Router: f.cfg.Settings.Host, Domain: f.cfg.Settings.Domain, ConfigAgeMillis: -1}
	if readAt := f.storeReadAt.Load(); readAt != 0 {
		out.ConfigAgeMillis = now.Sub(proto.Instant(readAt)).Milliseconds()
	}
	identified := x.identify()
	if x.config != nil {
		out.Revision = int64(x.config.Revision)
	}
	if identified {
		x.explainAdmission(out)
		x.explainChoice(now, out)
	}
	out.Refusal = x.preview.refusal
	if out.Refusal != nil {
		out.Endpoint = ""
	}
	return out
}

// explainAdmission explains the route, and what the request costs its account.
func (x *request) explainAdmission(out *Explanation) {
	out.Route = &ExplainedRoute{
		Name: x.route.Name, Service: x.service, Rank: x.rank(), TargetMillis: x.route.TargetLatency.Milliseconds(),
		LimitMillis: x.deadline.Sub(x.arrived).Milliseconds(),
	}
	switch {
	case x.body.size > x.bodyLimit():
		x.reject(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	case x.isTooLate():
		x.reject(http.StatusServiceUnavailable, reasonStopping, stoppingRetryAfter)
	}
	x.traits = x.crashTraits()
	x.explainQuota(out)
	x.explainRank(out)
}

// explainQuota explains what the limit of the request's account decides.
func (x *request) explainQuota(out *Explanation) {
	if x.account == nil {
		return
	}
	units := x.account.Cost(x.info.Tokens(), x.info.HasTokens)
	d := x.front.quota.Preview(x.arrived, x.account.ID, x.quotaRequest(units))
	out.Account = &ExplainedAccount{
		ID: x.account.ID, Units: units, Balance: d.Balance, Share: d.Share, Returning: d.Returning, Promised: d.Promised, Promises: d.Promises,
	}
	if !d.OK {
		x.reject(http.StatusTooManyRequests, "over_limit", d.RetryAfter)
	}
}

// explainRank explains the admission by rank.
func (x *request) explainRank(out *Explanation) {
	f := x.front
	d := f.admission.Preview(x.arrived, x.rankRequest(x.arrived), func() place.ServiceLoad { return f.placer.ServiceLoad(x.arrived, x.service) })
	out.Route.AdmittedFraction = d.Fraction
	if !d.OK {
		x.reject(http.StatusServiceUnavailable, "less_urgent", d.RetryAfter)
	}
}

// explainChoice explains the choice of the endpoint.
func (x *request) explainChoice(now proto.Instant, out *Explanation) {
	x.relay = relay.New(x.route, nil) // the budget counts for further attempts only
	x.isBehind = x.mayWaitForUrgent()
	q, preview := x.query(), x.front.placer.Preview()
	var p place.Explanation
	permit, _ := x.chooseWith(now, q, &p.Choice, x.front.rollouts.Preview, func(now proto.Instant, q *place.Query, _ *place.Choice) bool {
		p = preview.Explain(now, q)
		return p.OK
	})
	if permit != nil {
		view := permit.View()
		out.Release = &view
	}
	out.DomainCost = ExplainedDomains{Mode: p.Mode.String(), LeavesFor: p.LeavesFor, Loads: p.Domains}
	for i := range p.Assessments {
		out.Candidates = append(out.Candidates, candidateOf(&p.Assessments[i]))
	}
	if !p.OK {
		x.explainRefusal(x.noEndpoint(&p.Choice))
		return
	}
	out.Endpoint = p.Choice.Endpoint.ID
	if x.isOverloaded(q, &p.Choice) {
		x.explainRefusal(x.overloaded(&p.Choice))
	}
	if admission := x.front.crashes.Preview(now, x.traits); !admission.Allowed {
		x.explainRefusal(x.relay.NoEndpoint("crashes_endpoints", admission.RetryAfter))
	}
}

// explainRefusal records a refusal after the admission.
func (x *request) explainRefusal(d relay.Decision) {
	x.reject(http.StatusServiceUnavailable, d.Reason, d.RetryAfter)
}

func candidateOf(a *place.Assessment) ExplainCandidate {
	c := &a.Choice
	out := ExplainCandidate{
		Endpoint: c.Endpoint.ID, Domain: c.Endpoint.Domain, Version: c.Version,
		Excluded: a.Excluded, WaitMillis: a.Wait.Milliseconds(), LastResort: a.LastResort,
		InFlight: a.InFlight, OthersInFlight: a.OthersInFlight, Slots: a.Slots,
		CachedTokens: c.CachedTokens, FetchedTokens: c.FetchedTokens, RecomputedTokens: c.RecomputedTokens, Source: c.Source,
		AgesMillis: map[string]int64{
			"load": ageMillis(a.LoadAge), "lag": ageMillis(a.LagAge), "response": ageMillis(a.ResponseAge), "heartbeat": ageMillis(a.HeartbeatAge),
		},
	}
	if a.Excluded != "" {
		return out
	}
	out.Cost, out.ExpectedMillis, out.MemoryWaitMillis = exactMillis(a.Cost), exactMillis(c.ExpectedTTFB), exactMillis(c.MemoryWait)
	out.TokenMicros, out.Slowdown = float64(a.TokenTime)/float64(time.Microsecond), a.Slowdown
	out.Costs = map[string]float64{
		"wait": exactMillis(a.Costs.Wait), "lag": exactMillis(a.Costs.Lag), "prefill": exactMillis(a.Costs.Prefill), "fetch": exactMillis(a.Costs.Fetch),
		"prompt": exactMillis(a.Costs.Prompt), "version": exactMillis(a.Costs.OldVersion), "domain": exactMillis(a.Costs.Domain), "health": exactMillis(a.Costs.Health),
		"lateness": exactMillis(a.Costs.Lateness), "memory": exactMillis(a.Costs.Memory),
		"affinity": exactMillis(a.Costs.Affinity), "limit_check": exactMillis(a.Costs.LimitCheck), "jitter": exactMillis(a.Costs.Jitter),
	}
	return out
}

// ageMillis returns an age in milliseconds, -1 if it is below 0 and therefore unknown.
func ageMillis(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}

// exactMillis returns a time in milliseconds, to the microsecond.
func exactMillis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
