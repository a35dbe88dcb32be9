package serving_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/serving"
)

// sharedTokens is the number of tokens of the one prompt part that all accounts share.
const sharedTokens = 1000

// cacheRun is a sequence of requests with one shared part and of configuration changes
// that reach two routers, r and s.
type cacheRun struct {
	t        *testing.T
	accounts map[proto.AccountID]bool
	routers  map[string]*serving.Config
	// makers maps each namespace to the account that made its entry of the part.
	makers map[string]proto.AccountID
	// read is the number of tokens read since the last step "count".
	read int
}

// isIsolated reports whether an account is isolated in a configuration.
func isIsolated(c *serving.Config, id proto.AccountID) bool {
	return c.Accounts[id] != nil && c.Accounts[id].Isolated
}

// step applies one step: "+A" and "-A" make account A isolated or not, "xA" removes it, "oA"
// adds it, "rs", "r" or "s" puts the result in force at routers, "r:A" is a request.
func (c *cacheRun) step(step string) {
	router, account, isRequest := strings.Cut(step, ":")
	switch id := proto.AccountID(step[1:]); {
	case isRequest:
		c.request(c.routers[router], proto.AccountID(account))
	case step[0] == '+', step[0] == '-', step[0] == 'o':
		c.accounts[id] = step[0] == '+'
	case step[0] == 'x':
		delete(c.accounts, id)
	case step == "count":
		c.read = 0
	default:
		for _, r := range strings.Split(step, "") {
			c.routers[r] = c.config()
		}
	}
}

// config builds the present configuration, with its accounts in any order.
func (c *cacheRun) config() *serving.Config {
	spec := serving.Spec{}
	for id, isolated := range c.accounts {
		spec.Accounts = append(spec.Accounts, &serving.Account{ID: id, Isolated: isolated})
	}
	cfg, err := serving.New(spec)
	if err != nil {
		c.t.Fatal(err)
	}
	return cfg
}

func (c *cacheRun) request(cfg *serving.Config, id proto.AccountID) {
	namespace := cfg.CacheNamespace(cfg.Accounts[id])
	maker, held := c.makers[namespace]
	if !held {
		c.makers[namespace] = id
		c.read += sharedTokens
		return
	}
	if maker != id && (isIsolated(cfg, maker) || isIsolated(cfg, id)) {
		c.t.Errorf("%s uses an entry of %s", id, maker)
	}
}

// Guards against an account that uses cache entries of another one although one of the two
// is isolated, and against shared parts that are read again without need. Each case begins
// with the accounts A, B and C, none isolated, and an entry that A has made.
func TestIsolatedAccountsShareNoCacheEntries(t *testing.T) {
	for name, c := range map[string]struct {
		steps string
		// read is the number of tokens read since the beginning, or since "count".
		read int
	}{
		"nobody isolated":            {"r:B r:C s:A rs r:B", 0},
		"isolated":                   {"+A rs r:B s:C r:A s:A", 2 * sharedTokens},
		"an account that only reads": {"+B rs r:B r:A s:C", 2 * sharedTokens},
		"isolated, not, again":       {"+A rs r:A r:B -A rs r:A r:B s:C +A rs count r:A r:B s:C", 0},
		"not isolated any more":      {"+A rs r:A r:B -A rs count r:A r:B r:C", 0},
		"different revisions":        {"+A r r:B s:B r:A s:A r:C s:C s r:B s:B s:A", 2 * sharedTokens},
		"first the one, then both":   {"+A r r:B +B rs count r:C s:A s:B r:B", 3 * sharedTokens},
		"two in one revision":        {"+A +B rs r:A s:B r:C s:A s:C", 3 * sharedTokens},
		"two in the other order":     {"+B rs +A rs r:C -A -B rs +A rs +B rs count s:C", 0},
		"restart of all routers":     {"+A rs r:A r:B count rs r:A s:B r:C", 0},
		"older store":                {"+A rs r:A r:B -A rs r:B +A rs -A rs count r:B r:A +A rs r:B r:A", 0},
		"removed":                    {"+A rs r:A r:B xA rs count r:B s:C", 0},
		"removed and back":           {"+A rs r:A r:B xA rs r:B oA rs r:A +A rs count r:A r:B", 0},
	} {
		t.Run(name, func(t *testing.T) {
			run := &cacheRun{t: t, accounts: map[proto.AccountID]bool{"A": false, "B": false, "C": false},
				routers: map[string]*serving.Config{}, makers: map[string]proto.AccountID{}}
			for step := range strings.FieldsSeq("rs r:A count " + c.steps) {
				run.step(step)
			}
			if run.read != c.read {
				t.Errorf("%d tokens read, want %d", run.read, c.read)
			}
		})
	}
}

// Guards against a namespace that the name of an account can imitate.
func TestNamespacesDiffer(t *testing.T) {
	shared := func(ids ...proto.AccountID) string {
		spec := serving.Spec{}
		for _, id := range ids {
			spec.Accounts = append(spec.Accounts, &serving.Account{ID: id, Isolated: true})
		}
		cfg, err := serving.New(spec)
		if err != nil {
			t.Fatal(err)
		}
		return cfg.CacheNamespace(nil)
	}
	if got := shared(); got != "" {
		t.Errorf("nobody isolated: %q", got)
	}
	seen := []string{shared(), shared("a", "b"), shared("ab"), shared("a,b"), shared("a"), shared("b", "c")}
	cfg := &serving.Config{}
	for _, s := range slices.Clone(seen) {
		for _, id := range []string{s, strings.TrimLeft(s, "~=")} {
			if own := cfg.CacheNamespace(&serving.Account{ID: proto.AccountID(id), Isolated: true}); !slices.Contains(seen, own) {
				seen = append(seen, own)
			}
		}
	}
	if n := len(slices.Compact(slices.Sorted(slices.Values(seen)))); n != len(seen) || n < 12 {
		t.Errorf("%d of %d namespaces differ: %q", n, len(seen), seen)
	}
}

// Guards against a request that was admitted before its account became isolated and is sent
// after, and against one that was admitted while it was isolated.
func TestNamespaceOfAnAdmittedRequest(t *testing.T) {
	build := func(isolated bool) *serving.Config {
		cfg, err := serving.New(serving.Spec{Accounts: []*serving.Account{{ID: "A", Isolated: isolated}}})
		if err != nil {
			t.Fatal(err)
		}
		return cfg
	}
	open, isolated := build(false), build(true)
	own := isolated.CacheNamespace(isolated.Accounts["A"])
	for i, got := range []string{isolated.CacheNamespace(open.Accounts["A"]), open.CacheNamespace(isolated.Accounts["A"])} {
		if got != own {
			t.Error(fmt.Sprint(i, ": ", got, ", want ", own))
		}
	}
}
