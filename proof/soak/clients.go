package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attempt records one request as its client saw it.
type attempt struct {
	id, kind, key string
	sentAt        time.Time
	endedAt       time.Time
	router        *process
	status        int
	body          string
	// complete is set if the response was read to its end.
	complete bool
	// leaving is the signature of the engine that says in the answer that it leaves, or
	// "".
	leaving string
}

// clients sends requests until it is stopped, and records each attempt.
type clients struct {
	fleet    *Fleet
	stop     chan struct{}
	wait     sync.WaitGroup
	mu       sync.Mutex
	attempts []attempt
}

var requestKinds = []string{"order", "look", "sheet", "chat"}

// clientTimeout exceeds the timeout of every route.
const clientTimeout = 8 * time.Second

func startClients(f *Fleet, n int, seed uint64) *clients {
	c := &clients{fleet: f, stop: make(chan struct{})}
	for i := range n {
		c.wait.Add(1)
		go c.run(rand.New(rand.NewPCG(seed, uint64(i))), i)
	}
	return c
}

// end stops the clients and returns all their attempts.
func (c *clients) end() []attempt {
	close(c.stop)
	c.wait.Wait()
	return c.attempts
}

// run sends the requests of one client, which reuses its connections.
func (c *clients) run(rng *rand.Rand, number int) {
	defer c.wait.Done()
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: clientTimeout}
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(randomDuration(rng, time.Millisecond, 40*time.Millisecond)):
		}
		a := c.send(client, rng, fmt.Sprintf("c%d-%d", number, n))
		c.mu.Lock()
		c.attempts = append(c.attempts, a)
		c.mu.Unlock()
	}
}

func (c *clients) send(client *http.Client, rng *rand.Rand, id string) attempt {
	a := attempt{id: id, kind: requestKinds[rng.IntN(len(requestKinds))], router: pickRouter(c.fleet, rng), key: c.pickKey(rng)}
	// The body is unique, since routers refuse content that has broken several
	// connections to endpoints. It cannot be rewound, which keeps net/http from
	// sending the request again.
	body := "body of " + id
	req, err := http.NewRequest(http.MethodPost, "http://"+a.router.callerAddr+"/"+a.kind+"/x", io.NopCloser(strings.NewReader(body)))
	if err != nil {
		panic(err) // the address comes from a listener
	}
	req.ContentLength, req.Host = int64(len(body)), host
	req.Header.Set("Kumquatsill-Attempt-Id", id)
	req.Header.Set("Kumquatsill-Deadline-Remaining", "4000")
	req.Header.Set("Authorization", "Token "+a.key)
	if a.kind == "sheet" || a.kind == "chat" {
		req.Header.Set("Kumquatsill-Model", "m")
		req.Header.Set("Kumquatsill-Token-Counts", "20,10")
		req.Header.Set("Kumquatsill-Prompt-Prefix", promptParts(rng, id))
	}
	a.sentAt = time.Now()
	resp, err := client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.leaving = saysLeaving(resp.Header)
		a.status, a.body, a.complete = resp.StatusCode, string(data), err == nil
	}
	a.endedAt = time.Now()
	return a
}

// pickKey returns the newest key in force or, for one request in ten, a
// withdrawn key if there is one.
func (c *clients) pickKey(rng *rand.Rand) string {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if rng.IntN(10) == 0 {
		for key := range c.fleet.revoked {
			return key
		}
	}
	return c.fleet.keys[len(c.fleet.keys)-1]
}
