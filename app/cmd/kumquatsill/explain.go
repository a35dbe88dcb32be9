package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatsill/kumquatsill/app/front"
	"github.com/kumquatsill/kumquatsill/app/httpconn"
	"github.com/kumquatsill/kumquatsill/app/operator"
	"github.com/kumquatsill/kumquatsill/app/requestlog"
	"github.com/kumquatsill/kumquatsill/app/settings"
	"github.com/kumquatsill/kumquatsill/core/canary"
	"github.com/kumquatsill/kumquatsill/core/locality"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

func explainCommand(s streams) settings.Command {
	return settings.Command{
		Name: "explain", Short: "Tell what became of a request, or where one would go", Data: &explainFlags{printer: printer{streams: s}},
		Long: `Tell where a request ran and why, under which revision, what was tried, and with which verdict it ended. Any router can explain any request whose audit record the log still retains; records reach the log within seconds. REQUEST-ID is the Kumquatsill-Request-Id of the answer, or the caller's X-Request-Id, which finds the latest request with it.

With --log, no router is asked: the story is told from the logs of 'kumquatsill front', each line optionally behind a host name. Lines of the request are marked with *, changes of what its router believed are not.

With --front, a running 'kumquatsill front' tells where a request would go now and why, from --request or from --host, --path, --method, --header and --body. Nothing is sent, charged or counted. A file given by --request keeps keys out of the list of processes. Without a Kumquatsill-Attempt-Id, which chooses between weighted services, the request has the id "explain".

Examples:
  kumquatsill explain 0197f0c2-5f0e-7c1a-9a51-1f6f0c7d2b11
  kumquatsill explain refill-4711 --json
  kumquatsill explain 9c41d07be2a35f68 --log routers.log
  collect-logs | kumquatsill explain 9c41d07be2a35f68 --log -
  kumquatsill explain --front 10.0.0.1:9100 --host h.example --path /sheet/1 --header 'Kumquatsill-Model: m'
  kumquatsill explain --front 10.0.0.1:9100 --request request.http --json` + exitCodes,
	}
}

type explainFlags struct {
	printer
	routerClientFlags
	choiceFlags
	Log  string `long:"log" description:"file with the logs of 'kumquatsill front', or - for standard input"`
	Args struct {
		Request string `positional-arg-name:"REQUEST-ID" description:"id of the request"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (f *explainFlags) Execute(args []string) error {
	if f.Front != "" {
		return f.explainChoice(append(args, nonEmpty(f.Args.Request, f.Log)...))
	}
	if err := f.validate(args, argument{"REQUEST-ID", f.Args.Request}); err != nil {
		return err
	}
	if f.Log != "" {
		return f.explainFromLog()
	}
	reply, err := callRouter[proto.ExplainReply](&f.routerClientFlags, proto.ExplainQuery{ID: operator.NewID(), Request: proto.RequestID(f.Args.Request)})
	switch {
	case err != nil:
		return err
	case reply.Request == nil && reply.Incomplete:
		return settings.ExitErrorf(settings.ExitUnreachable, "%s", escapeControl(reply.Detail))
	case reply.Request == nil:
		return settings.ExitErrorf(settings.ExitNotFound, "%s", escapeControl(reply.Detail))
	}
	return f.show(reply, func(w io.Writer) { showRequest(w, reply) })
}

// explainFromLog prints the timeline of a request, built from router logs.
func (f *explainFlags) explainFromLog() error {
	input := f.in
	if f.Log != "-" {
		file, err := os.Open(f.Log)
		if err != nil {
			return &settings.Error{Problems: []string{"--log: " + err.Error()}}
		}
		defer func() { _ = file.Close() }() // the file was only read
		input = file
	}
	timeline, err := requestlog.Read(input, f.Args.Request)
	if err != nil {
		return settings.ExitErrorf(settings.ExitNotFound, "%s", err.Error())
	}
	return timeline.Write(f.out)
}

func showRequest(w io.Writer, reply proto.ExplainReply) {
	r := reply.Request
	source := "memory of the router"
	if reply.Source == proto.ExplainedByAudit {
		source = fmt.Sprintf("audit stream, offset %d, entry %d", reply.Offset, reply.Index)
	}
	writeTable(w,
		[]string{"request", string(r.Request)},
		[]string{"account", string(r.Account)},
		[]string{"path", r.Path},
		[]string{"model", strings.TrimSpace(r.Model + " " + r.Version)},
		[]string{"router", string(reply.Router)},
		[]string{"revision", formatInt(r.Revision)},
		[]string{"arrived", r.Arrived.UTC().Format(time.RFC3339Nano)},
		[]string{"rate", r.RateReason},
		[]string{"verdict", r.Verdict.String()},
		[]string{"cause", string(r.Cause)},
		[]string{"tokens", fmt.Sprintf("%d prompt, %d cached, %d completion", r.Usage.PromptTokens, r.Usage.CachedTokens, r.Usage.CompletionTokens)},
		[]string{"first token", r.FirstToken.String()},
		[]string{"total", r.Total.String()},
		[]string{"source", source},
	)
	writeSection(w, "attempts", []string{"ATTEMPT", "ENDPOINT", "WHY", "CAUSE", "VERDICT"}, rowsOf(r.Attempts, func(a proto.AttemptSummary) []string {
		return []string{string(a.Attempt), string(a.Endpoint), a.Reason, string(a.Cause), a.Verdict.String()}
	}))
}

const (
	// attemptIDHeader identifies a request; defaultAttemptID is used for one without it.
	attemptIDHeader  = "Kumquatsill-Attempt-Id"
	defaultAttemptID = "explain"
	// maxExplanationBytes limits the explanation of a request that is read.
	maxExplanationBytes = 16 << 20
)

// choiceFlags describe a request whose choice of an endpoint is to be explained.
type choiceFlags struct {
	Front   string   `long:"front" value-name:"IP:PORT" description:"readiness or metrics listener of a 'kumquatsill front' that tells where a request would go"`
	Request string   `long:"request" value-name:"FILE" description:"file with the request as of HTTP/1.1, or - for standard input"`
	Host    string   `long:"host" description:"host of the request"`
	Method  string   `long:"method" description:"method of the request; POST unless --request gives one"`
	Path    string   `long:"path" description:"path of the request"`
	Header  []string `long:"header" value-name:"NAME:VALUE" description:"header of the request; may be repeated"`
	Body    string   `long:"body" value-name:"FILE" description:"file with the body of the request"`
}

// nonEmpty returns the values that are not empty.
func nonEmpty(values ...string) []string {
	return slices.DeleteFunc(values, func(v string) bool { return v == "" })
}

// explainChoice asks a front where a request would go and prints the answer.
func (f *explainFlags) explainChoice(surplus []string) error {
	var c settings.Checker
	c.NoArgs(surplus)
	c.Address("front", f.Front)
	timeout := c.Duration("timeout", f.Timeout)
	if err := c.Err(); err != nil {
		return err
	}
	described, err := f.describe()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	x, err := askFront(ctx, f.Front, described)
	if err != nil {
		return err
	}
	return f.show(x, func(w io.Writer) { showExplanation(w, x) })
}

// describe returns the request as given by the flags. Errors name no values of headers, which
// may be keys.
func (f *explainFlags) describe() (*front.ExplainRequest, error) {
	e := &front.ExplainRequest{Header: http.Header{}}
	if f.Request != "" {
		data, err := f.readInput(f.Request)
		if err != nil {
			return nil, err
		}
		if e, err = parseRequest(data); err != nil {
			return nil, settings.ExitErrorf(settings.ExitUsage, "--request %s is no HTTP/1.1 request", escapeControl(f.Request))
		}
	}
	for i, line := range f.Header {
		name, value, ok := strings.Cut(line, ":")
		if !ok || strings.TrimSpace(name) == "" {
			return nil, settings.ExitErrorf(settings.ExitUsage, "--header number %d is not of the form NAME:VALUE", i+1)
		}
		e.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	if f.Body != "" {
		body, err := f.readInput(f.Body)
		if err != nil {
			return nil, err
		}
		e.Body = body
	}
	e.Host, e.Path, e.Method = cmp.Or(f.Host, e.Host), cmp.Or(f.Path, e.Path), cmp.Or(f.Method, e.Method, http.MethodPost)
	if e.Host == "" || !strings.HasPrefix(e.Path, "/") {
		return nil, settings.ExitErrorf(settings.ExitUsage, "the request needs --host and a --path that begins with /")
	}
	if e.Header.Get(attemptIDHeader) == "" {
		e.Header.Set(attemptIDHeader, defaultAttemptID)
	}
	return e, nil
}

// parseRequest parses a request as of HTTP/1.1. What follows the header is the body, whatever
// length that states, as it may be left out.
func parseRequest(data []byte) (*front.ExplainRequest, error) {
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(data)))
	line, err := reader.ReadLine()
	if err != nil {
		return nil, err
	}
	words := strings.Fields(line)
	if len(words) != 3 || !strings.HasPrefix(words[2], "HTTP/") {
		return nil, fmt.Errorf("no request line")
	}
	header, err := reader.ReadMIMEHeader()
	if err != nil && !errors.Is(err, io.EOF) { // the empty line at the end may be left out
		return nil, err
	}
	body, err := io.ReadAll(reader.R)
	if err != nil {
		return nil, err
	}
	return &front.ExplainRequest{Method: words[0], Path: words[1], Host: header.Get("Host"), Header: http.Header(header), Body: body}, nil
}

// askFront sends the description of a request to a front and returns the explanation.
func askFront(ctx context.Context, addr string, described *front.ExplainRequest) (*front.Explanation, error) {
	data, err := json.Marshal(described)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+front.ExplainPath, bytes.NewReader(data))
	if err != nil {
		return nil, &settings.ExitError{Code: settings.ExitUsage, Err: err}
	}
	// The description may hold a key: it goes to the router alone, not to a proxy or further.
	client := &http.Client{
		Transport:     httpconn.NewTransport(&http.Transport{DisableKeepAlives: true}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, settings.ExitErrorf(settings.ExitUnreachable, "router %s does not answer: %v", addr, err)
	}
	defer func() { _ = resp.Body.Close() }() // the response was read or is given up
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanationBytes))
	if err != nil {
		return nil, settings.ExitErrorf(settings.ExitUnreachable, "router %s broke off its answer: %v", addr, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, settings.ExitErrorf(settings.ExitRefused, "router %s refused: %d %s", addr, resp.StatusCode, escapeControl(strings.TrimSpace(string(answer))))
	}
	x := &front.Explanation{}
	if err := json.Unmarshal(answer, x); err != nil || x.Router == "" {
		return nil, settings.ExitErrorf(settings.ExitRefused, "%s is no readiness or metrics listener of 'kumquatsill front'", addr)
	}
	return x, nil
}

// showExplanation prints where a request would go.
func showExplanation(w io.Writer, x *front.Explanation) {
	rows := [][]string{
		{"router", string(x.Router) + " in " + string(x.Domain)},
		{"configuration", fmt.Sprintf("revision %d, read %s ago", x.Revision, formatMillisAge(x.ConfigAgeMillis))},
	}
	if r := x.Route; r != nil {
		rows = append(rows, []string{"route", fmt.Sprintf("%s, service %s, rank %d, admitted %.2f, target %d ms, time limit %d ms", r.Name, r.Service, r.Rank, r.AdmittedFraction, r.TargetMillis, r.LimitMillis)})
	}
	if a := x.Account; a != nil {
		rows = append(rows, []string{"account", fmt.Sprintf("%s, balance %d, cost %d, share %.2f", a.ID, a.Balance, a.Units, a.Share)})
	}
	if r := x.Release; r != nil {
		rows = append(rows, []string{"release", describeRelease(r)})
	}
	outcome := "would be sent to " + string(x.Endpoint)
	if r := x.Refusal; r != nil {
		outcome = fmt.Sprintf("would be refused: %d %s, retry after %d ms", r.Status, r.Reason, r.RetryAfterMillis)
	}
	rows = append(rows, []string{"outcome", outcome})
	if d := x.DomainCost; d.Mode != "" {
		rows = append(rows, []string{"cost of leaving", strings.TrimSpace(d.Mode + " " + string(d.LeavesFor))})
	}
	writeTable(w, rows...)
	writeSection(w, "failure domains", []string{"DOMAIN", "SLOTS", "USABLE", "LOAD", "AGE MS", "SHARE"}, rowsOf(x.DomainCost.Loads, func(v locality.View) []string {
		return []string{string(v.Domain), formatInt(v.Slots), formatInt(v.Usable), formatFloat(v.Load), formatInt(v.AgeMillis), formatFloat(v.Share)}
	}))
	showCandidates(w, x.Candidates)
}

// describeRelease tells which releases a request may be sent to.
func describeRelease(r *canary.PermitView) string {
	s := fmt.Sprintf("%s allowed, established %s", r.Allowed, cmp.Or(r.Established, "-"))
	if r.To != "" {
		s += ", new " + r.To
	}
	if r.Sampled != "" {
		s += ", only at " + string(r.Sampled)
	}
	return s
}

// costColumns are the components of the cost of a candidate in the order of their columns.
var costColumns = []string{"wait", "lag", "prefill", "fetch", "prompt", "version", "domain", "health", "lateness", "memory", "affinity", "limit_check", "jitter"}

// showCandidates prints the endpoints, the cheapest first and the excluded ones last.
func showCandidates(w io.Writer, candidates []front.ExplainCandidate) {
	candidates = slices.SortedStableFunc(slices.Values(candidates), func(a, b front.ExplainCandidate) int {
		return cmp.Or(cmp.Compare(a.Excluded, b.Excluded), cmp.Compare(a.Cost, b.Cost))
	})
	head := []string{"ENDPOINT", "DOMAIN", "EXCLUDED", "COST MS"}
	for _, name := range costColumns {
		head = append(head, strings.ToUpper(strings.ReplaceAll(name, "_", " ")))
	}
	head = append(head, "IN FLIGHT", "SLOTS", "SLOWDOWN", "LOAD AGE MS", "RESPONSE AGE MS")
	writeSection(w, "endpoints", head, rowsOf(candidates, func(c front.ExplainCandidate) []string {
		row := []string{string(c.Endpoint), string(c.Domain), cmp.Or(c.Excluded, "-"), formatFloat(c.Cost)}
		for _, name := range costColumns {
			row = append(row, formatFloat(c.Costs[name]))
		}
		return append(row, formatInt(c.InFlight+c.OthersInFlight), formatInt(c.Slots), formatFloat(c.Slowdown), formatInt(c.AgesMillis["load"]), formatInt(c.AgesMillis["response"]))
	}))
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }

// formatMillisAge formats an age in milliseconds; one below 0 is unknown.
func formatMillisAge(ms int64) string { return formatAge(time.Duration(ms) * time.Millisecond) }
