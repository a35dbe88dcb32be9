package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["walled"] = walledCase }

const (
	// sharedPart is the part that the prompts of all tenants begin with.
	sharedPart = "5c1e07a2"
	// afterConfirmation is how long after the confirmation of the configuration the other
	// tenant sends, configurationMs and a second.
	afterConfirmation = 3 * time.Second
)

// cachedPart is a part in an engine's cache, which the engine finds under its salt only.
type cachedPart struct{ engine, salt, part string }

// kvCaches follows which tenant's request has made each part in the caches of the engines.
type kvCaches struct {
	mu     sync.Mutex
	madeBy map[cachedPart]string
	uses   []partUse
}

// partUse is the use of a cached part by a request.
type partUse struct {
	run    Run
	part   string
	madeBy string
}

// run records that an engine runs a request: it uses the leading part if it is cached, and
// makes it otherwise.
func (c *kvCaches) run(r Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := cachedPart{r.Engine, r.Salt, sharedPart}
	if tenant, cached := c.madeBy[key]; cached {
		c.uses = append(c.uses, partUse{r, sharedPart, tenant})
		return
	}
	c.madeBy[key] = r.Tenant
}

// walledCase: a tenant's requests leave KV cache at the engines. A configuration then sets
// the tenant's isolated to true. Another tenant sends prompts that begin with the same part.
func walledCase(binary string) bool {
	f := NewFleet(binary)
	defer f.Close()
	first := Tenant{Name: "noba922", Key: "i5jgudehumxrwqdhtv99", Rate: 100_000}
	other := Tenant{Name: "jeny34", Key: "mcch2cf32hhdr39d7p26", Rate: 100_000}
	f.Store.Put("keyed.op", "config", config(7, first, other))
	caches := &kvCaches{madeBy: map[cachedPart]string{}}
	for _, z := range zones {
		f.AddEngine(&Engine{Service: llm, Model: model, Zone: z, Events: 10, Interval: 10 * time.Millisecond, OnRun: func(r Run) {
			f.Record("engine %s runs %s of tenant %s, salt %q, parts %s", r.Engine, r.ID, r.Tenant, r.Salt, r.Parts)
			caches.run(r)
		}})
	}
	f.StartRouters(3, memoryMB)
	f.sendPrompts(first, 12)
	if trouble {
		first.Isolated = true
	}
	f.Store.Put("keyed.op", "config", config(9, first, other))
	f.Record("configuration 9 is confirmed: tenant %s has isolated = %t", first.Name, first.Isolated)
	time.Sleep(afterConfirmation)
	f.sendPrompts(other, 12)
	caches.mu.Lock()
	defer caches.mu.Unlock()
	broken := 0
	for _, u := range caches.uses {
		if first.Isolated && u.run.Tenant != u.madeBy {
			broken++
			f.Record("%s of tenant %s uses part %s, which a request of tenant %s made; %s is isolated", u.run.ID, u.run.Tenant, u.part, u.madeBy, first.Name)
		}
	}
	f.Record("%d requests have used KV cache of another tenant, one of the two isolated", broken)
	return broken > 0
}

// sendPrompts sends n requests of a tenant, one after the other, to all routers in turn.
func (f *Fleet) sendPrompts(t Tenant, n int) {
	c := newClient()
	for i := range n {
		a := &Attempt{ID: fmt.Sprintf("%s-%02d", t.Name, i), Route: "verdict", Key: t.Key, Parts: fmt.Sprintf("%s:2000,%x%02d:100", sharedPart, t.Name[0], i), Body: []byte("a prompt"), LimitMS: 6000}
		f.Do(a, c, f.Routers[i%len(f.Routers)])
	}
}
