package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case "heads": clients that the users do not control send many requests at
// once, whose heads are within limits.headerBytes and consist of many short lines.
const (
	headClients = 600
	// headBytes is what the lines take; with the other headers the head stays below
	// limits.headerBytes, which is 16,384.
	headBytes = 15_000
	// idClients is the number of clients of each machine in the case "ids", idBytes the length
	// of the IDs of their requests; the head stays below limits.headerBytes, too.
	idClients = 1900
	idBytes   = 15_000
)

// runHeads reports whether the rule Fault held for heads of many short lines.
func runHeads(f *fleet, trouble bool) bool {
	var lines strings.Builder
	for i := 0; trouble && lines.Len() < headBytes; i++ {
		fmt.Fprintf(&lines, "X%d: b\r\n", i)
	}
	return runHeadCrowd(f, headClients, lines.String(), "")
}

// runIDs reports whether the rule Fault held for requests with long IDs.
func runIDs(f *fleet, trouble bool) bool {
	id := ""
	if trouble {
		id = strings.Repeat("a", idBytes)
	}
	return runHeadCrowd(f, idClients, "", id)
}

// runHeadCrowd runs clients with further lines of their heads, and a part of their IDs.
func runHeadCrowd(f *fleet, clients int, lines, id string) bool {
	f.startApplication(3)
	outcomes := newCounts()
	held := f.runMemoryCase(func(ctx context.Context, r *router) {
		var wait sync.WaitGroup
		for i := range clients {
			wait.Add(1)
			go func() {
				defer wait.Done()
				headClient(ctx, f, r, i, lines, id, outcomes)
			}()
		}
		wait.Wait()
	})
	f.record.line("how attempts ended: %s; runs: %s", outcomes, f.runs)
	return held
}

// headClient sends one request after the other on connections that it keeps.
func headClient(ctx context.Context, f *fleet, r *router, client int, lines, id string, outcomes *counts) {
	for n := 0; ctx.Err() == nil; {
		c, err := net.DialTimeout("tcp4", r.frontAddr, time.Second)
		if err != nil {
			outcomes.add("no connection")
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		br := bufio.NewReader(c)
		for ; ctx.Err() == nil; n++ {
			status, err := headRequest(c, br, fmt.Sprintf("%s%02x%06x%08x", id, r.ip[len(r.ip)-1], client, n), lines)
			if client%100 == 0 {
				f.record.line("%s: client %d, request %d with %d bytes of further lines and an ID of %d bytes: status %d, error %v", r.name, client, n, len(lines), len(id)+16, status, err)
			}
			if err != nil {
				outcomes.add("connection closed")
				break
			}
			outcomes.add(fmt.Sprint(status))
			sleep(ctx, 100*time.Millisecond)
		}
		stop()
		_ = c.Close()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// headRequest sends a request and reads its answer.
func headRequest(c net.Conn, br *bufio.Reader, id, lines string) (int, error) {
	_, err := fmt.Fprintf(c, "GET /order/4a HTTP/1.1\r\nHost: shop.example\r\n%sKumquatsill-Attempt-Id: %s\r\nAuthorization: Token %s\r\n"+
		"Kumquatsill-Deadline-Remaining: 3000\r\n\r\n", lines, id, accessKey)
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
