package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Figures of the case "early": many bodies of legal size at once, and engines that answer
// before they have read a long body, and read on slowly.
const (
	earlyClients  = 400 // a machine
	earlyEngines  = 18
	earlyEvents   = 40
	earlyInterval = 200 * time.Millisecond
	earlyDeadline = 15 * time.Second
	// earlyPiece is what an engine reads of a body between two events.
	earlyPiece = 32 << 10
	// bodyBytes is limits.bodyBytes of the configuration.
	bodyBytes     = 4 << 20
	orderDeadline = 3 * time.Second
)

const accessKey = "wu3fexd9dnn2ctnfzs98"

// config returns a configuration as `fleetbench wire` shows it.
func config(version int) map[string]any {
	engineService := map[string]any{"name": "asistente", "healthCheckPath": "/health", "connectionLimit": 290, "protocol": "h1", "transportSecurity": false,
		"engine": map[string]any{"slots": 48, "cacheTokens": 94101, "tokenCacheBytes": 163840, "linkMbps": 550000.0, "moves": true, "backups": true, "stride": 4,
			"concurrencyLimit": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []map[string]string{{"name": "m0"}}}}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "dilution-answer", "host": "shop.example", "pathPrefix": "/answer/", "kind": "streaming", "timeoutMs": earlyDeadline.Milliseconds(), "targetLatencyMs": 500,
				"gapTargetMs": 400, "priority": 0, "service": "asistente", "attempts": 1, "public": false, "stickySessions": true, "resumable": false},
			{"name": "refill-order", "host": "shop.example", "pathPrefix": "/order/", "kind": "unsafe", "timeoutMs": orderDeadline.Milliseconds(), "targetLatencyMs": 300,
				"priority": 2, "service": "pedidos", "attempts": 2, "public": false},
		},
		"services": []map[string]any{engineService, {"name": "pedidos", "healthCheckPath": "/health", "connectionLimit": 96, "protocol": "h1", "transportSecurity": false}},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "sese880", "accessKeys": []string{accessKey}, "priority": 1, "unit": "tokens", "uncachedTokens": 200,
			"isolated": false, "ratePerS": 10000000, "burst": 10000000}},
	}
}

// runEarly reports whether the rule Fault held.
func runEarly(f *fleet, trouble bool) bool {
	for i := range earlyEngines {
		e := &engine{id: fmt.Sprintf("i-%010d", i), service: "asistente", model: "m0", zone: "cl-centro-a", slots: 48, loadTime: 570 * time.Millisecond, bufferBytes: 32 << 10}
		e.run = func(c net.Conn, _ *bufio.Reader, r *http.Request) bool {
			if !trouble {
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return false
				}
			}
			f.runs.add(e.id)
			return streamEvents(c, e.id, r)
		}
		e.start()
		go e.keepRegistered(f.store)
	}
	body := bytes.Repeat([]byte("a shop's history "), bodyBytes/17+1)[:bodyBytes]
	outcomes := newCounts()
	held := f.runMemoryCase(func(ctx context.Context, r *router) {
		var wait sync.WaitGroup
		for i := range earlyClients {
			wait.Add(1)
			go func() {
				defer wait.Done()
				earlyClient(ctx, f, r, i, body, outcomes)
			}()
		}
		wait.Wait()
	})
	f.record.line("how attempts ended: %s; runs: %s", outcomes, f.runs)
	return held
}

// streamEvents answers with a stream, and reads the body slowly meanwhile.
func streamEvents(c net.Conn, id string, r *http.Request) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKumquatsill-Attempt-Id: %s\r\n"+
		"Kumquatsill-Response-Signature: sig.%s\r\nKumquatsill-Instance: %s\r\nKumquatsill-Weight-Versions: 1\r\n\r\n", r.Header.Get("Kumquatsill-Attempt-Id"), id, id)
	for i := 1; i <= earlyEvents && err == nil; i++ {
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		_, _ = io.CopyN(io.Discard, r.Body, earlyPiece)
		time.Sleep(earlyInterval)
	}
	if err != nil {
		return false
	}
	if _, err = io.Copy(io.Discard, r.Body); err != nil { // the rest of the body, later
		return false
	}
	_, err = io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// earlyClient sends requests of legal size, one after the other, until the time is over.
func earlyClient(ctx context.Context, f *fleet, r *router, client int, body []byte, outcomes *counts) {
	transport := &http.Transport{DisableKeepAlives: true}
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%04x%04x%08x", len(r.name)+int(r.ip[len(r.ip)-1]), client, n)
		reqCtx, cancel := context.WithTimeout(ctx, earlyDeadline)
		req, err := http.NewRequestWithContext(reqCtx, http.MethodPost, "http://"+r.frontAddr+"/answer/2f", bytes.NewReader(body))
		must(err)
		req.Host = "shop.example"
		for name, value := range map[string]string{"Kumquatsill-Attempt-Id": id, "Kumquatsill-Model": "m0", "Kumquatsill-Token-Counts": "826,73",
			"Kumquatsill-Prompt-Prefix": "5c1e07a2:198," + id + ":628", "Kumquatsill-Deadline-Remaining": strconv.FormatInt(earlyDeadline.Milliseconds(), 10),
			"Authorization": "Token " + accessKey} {
			req.Header.Set(name, value)
		}
		outcome, pause := earlyAnswer(transport, req)
		if ctx.Err() == nil {
			if outcome != "no answer" { // the connection was refused or closed; they are counted
				f.record.line("%s: request %s of %d bytes: %s", r.name, id, len(body), outcome)
			}
			outcomes.add(outcome)
		}
		cancel()
		sleep(ctx, pause)
	}
}

// earlyAnswer sends a request, reads its answer, and returns what became of it and the time
// until the next request.
func earlyAnswer(transport *http.Transport, req *http.Request) (string, time.Duration) {
	const retryPause = 100 * time.Millisecond
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "no answer", retryPause
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return fmt.Sprint(resp.StatusCode), max(retryPause, time.Duration(seconds*float64(time.Second)))
	}
	data, err := io.ReadAll(resp.Body)
	if events := bytes.Count(data, []byte("\n\n")); err != nil || events < earlyEvents {
		return "200, cut", retryPause
	}
	return "200, whole", retryPause
}
