package note

import (
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// Maximum lengths in bytes.
	maxName   = 128
	maxAuthor = 256
	maxReason = 4096
	maxPath   = 512

	// maxRate, in tokens per second, and maxBurst, in tokens, prevent an int64
	// overflow of sums over all accounts and many hours.
	maxRate  = 1_000_000_000
	maxBurst = 1_000_000_000_000

	maxPriority     = 1000
	maxWeight       = 1_000_000
	maxPolicyWeight = 1e6
	maxEndpoints    = 10_000
	maxLoads        = 64
	maxIntentShards = 256
	maxStaticSlots  = 1024
	minQuarantine   = time.Second
	maxQuarantine   = 30 * 24 * time.Hour

	// keyHashLength is the number of hexadecimal digits of a SHA-256 hash.
	keyHashLength = 64
)

var allowedMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// reservedPaths are served by the router itself. A path that ends in "/" matches
// all paths below it.
var reservedPaths = []string{
	"/v1/chat/completions", "/v1/completions", "/v1/models",
	"/healthz", "/readyz", "/metrics", "/debug/",
}

func indexedField(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }

func (c *checker) text(field, s string, limit int) {
	if len(s) > limit {
		c.addError(field, "has %d bytes, at most %d are allowed", len(s), limit)
	}
	if !utf8.ValidString(s) || strings.ContainsFunc(s, unicode.IsControl) {
		c.addError(field, "contains a control character or invalid UTF-8")
	}
}

// name checks an identifier. The characters in extra are allowed in addition to
// letters, digits and "._-".
func (c *checker) name(field, s, extra string) {
	switch {
	case s == "":
		c.addError(field, "is empty")
	case len(s) > maxName:
		c.addError(field, "has %d bytes, at most %d are allowed", len(s), maxName)
	case strings.ContainsFunc(s, func(r rune) bool { return !isNameRune(r) && !strings.ContainsRune(extra, r) }):
		c.addError(field, "%q contains a character other than letters, digits and %q", s, "._-"+extra)
	}
}

func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("._-", r)
}

func (c *checker) within(field string, n, low, high int64) {
	if n < low || n > high {
		c.addError(field, "is %d, must be from %d to %d", n, low, high)
	}
}

func (c *checker) account(field string, a Account) {
	c.name(field+".id", string(a.ID), "")
	if a.Rate <= 0 || a.Rate > maxRate {
		c.addError(field+".rate", "is %d tokens/s, must be from 1 to %d", a.Rate, maxRate)
	}
	if a.Burst < a.Rate || a.Burst > maxBurst {
		c.addError(field+".burst", "is %d tokens, must be from one second of the rate (%d) to %d", a.Burst, a.Rate, maxBurst)
	}
	c.within(field+".priority", int64(a.Priority), -maxPriority, maxPriority)
	c.within(field+".weight", a.Weight, 0, maxWeight)
}

func (c *checker) key(field string, k Key) {
	if !isKeyHash(k.Hash) {
		c.addError(field+".hash", "is not a SHA-256 hash of %d lower-case hex digits", keyHashLength)
	}
	if _, ok := c.accounts.get(k.Account); !ok {
		c.addError(field+".account", "names unknown account %q", k.Account)
	}
}

func isKeyHash(h proto.KeyHash) bool {
	digit := func(r rune) bool { return r >= '0' && r <= '9' || r >= 'a' && r <= 'f' }
	return len(h) == keyHashLength && !strings.ContainsFunc(string(h), func(r rune) bool { return !digit(r) })
}

func (c *checker) endpoint(field string, e Endpoint) {
	c.name(field+".id", string(e.ID), "")
	c.name(field+".domain", string(e.Domain), "")
	c.addr(field+".addr", e.Addr)
	switch e.Kind {
	case KindEngine:
		c.engine(field, e)
	case KindService:
		c.service(field, e)
	default:
		c.addError(field+".kind", "is %q, must be %q or %q", e.Kind, KindEngine, KindService)
	}
}

func (c *checker) addr(field, addr string) {
	ap, err := netip.ParseAddrPort(addr)
	switch {
	case err != nil:
		c.addError(field, "%q is not of the form ip:port", addr)
	case ap.String() != addr:
		c.addError(field, "%q must be written as %q", addr, ap.String())
	case ap.Port() == 0:
		c.addError(field, "%q has port 0", addr)
	case ap.Addr().IsUnspecified() || ap.Addr().IsMulticast():
		c.addError(field, "%q does not name one host", addr)
	case c.addrCounts[addr] > 1:
		c.addError(field, "%q belongs to another endpoint as well", addr)
	}
}

func (c *checker) engine(field string, e Endpoint) {
	if e.Service != "" {
		c.addError(field+".service", "is set on an engine")
	}
	if len(e.Models) == 0 {
		c.addError(field+".models", "is empty")
	}
	for i, m := range e.Models {
		at := indexedField(field+".models", i)
		if _, ok := c.models.get(m); !ok {
			c.addError(at, "names unknown model %q", m)
		}
		if slices.Contains(e.Models[:i], m) {
			c.addError(at, "names %q twice", m)
		}
	}
}

func (c *checker) service(field string, e Endpoint) {
	c.name(field+".service", e.Service, "")
	if len(e.Models) > 0 {
		c.addError(field+".models", "is set on a plain service")
	}
	if e.ChecksFence {
		c.addError(field+".checks_fence", "is set on a plain service")
	}
}

func (c *checker) model(field string, m Model) {
	c.name(field+".name", m.Name, "/:")
	c.name(field+".version", m.Version, "/:+")
	for i, a := range m.Adapters {
		at := indexedField(field+".adapters", i)
		c.name(at, a, "/:")
		if slices.Contains(m.Adapters[:i], a) {
			c.addError(at, "names %q twice", a)
		}
	}
	c.within(field+".min_endpoints", int64(m.MinEndpoints), 0, maxEndpoints)
}

func (c *checker) route(field string, r Route) {
	if !slices.Contains(allowedMethods, r.Method) {
		c.addError(field+".method", "is %q, must be one of %s", r.Method, strings.Join(allowedMethods, ", "))
	}
	if problem := pathProblem(r.Path); problem != "" {
		c.addError(field+".path", "%q %s", r.Path, problem)
	}
	if c.serviceCounts[r.Service] == 0 || r.Service == "" {
		c.addError(field+".service", "names service %q, which no endpoint provides", r.Service)
	}
}

// pathProblem describes what is wrong with the path of a route, or returns "".
// It rejects every path that two parsers could interpret differently.
func pathProblem(path string) string {
	if !strings.HasPrefix(path, "/") {
		return "does not start with a slash"
	}
	if len(path) > maxPath {
		return "is too long"
	}
	if strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r > '~' || strings.ContainsRune(`%\?#;"<>{}|^`+"`", r) }) {
		return "contains a character that is not allowed in a route"
	}
	segments := strings.Split(strings.TrimSuffix(path[1:], "/"), "/")
	for _, s := range segments {
		if s == "." || s == ".." || s == "" && path != "/" {
			return "contains an empty, \".\" or \"..\" segment"
		}
	}
	for _, reserved := range reservedPaths {
		if coversPath(path, reserved) || coversPath(reserved, path) {
			return "overlaps " + reserved + ", which the router serves itself"
		}
	}
	return ""
}

// coversPath reports whether route path a matches path b.
func coversPath(a, b string) bool {
	return a == b || strings.HasSuffix(a, "/") && strings.HasPrefix(b, a)
}

func (c *checker) policyChange() {
	if c.note.Added.Policy != nil {
		c.addError("added.policy", "is added, but a policy can only be changed")
	}
	if p := c.note.Changed.Policy; p != nil {
		c.policy("changed.policy", *p)
	}
}

func (c *checker) policy(field string, p Policy) {
	c.policyWeight(field+".tail_weight", p.TTFTWeight)
	c.policyWeight(field+".hit_weight", p.CacheHitWeight)
	c.within(field+".max_loads", int64(p.MaxConcurrentLoads), 0, maxLoads)
	c.within(field+".intent_shards", int64(p.IntentShards), 0, maxIntentShards)
	c.within(field+".static_slots", int64(p.StaticSlots), 0, maxStaticSlots)
	if q := time.Duration(p.Quarantine); q != 0 && (q < minQuarantine || q > maxQuarantine) {
		c.addError(field+".quarantine", "is %v, must be from %v to %v", q, minQuarantine, maxQuarantine)
	}
	if c.base.Revision == 0 {
		return
	}
	// With another number of shards, the key of a call would map to an intent
	// stream that does not contain the call's intent.
	next := p.withDefaults()
	if next.IntentShards != c.base.Policy.IntentShards {
		c.addError(field+".intent_shards", "is %d, must stay %d after the first note", next.IntentShards, c.base.Policy.IntentShards)
	}
	// While some routers use the old share size and others the new one, the
	// shares could add up to more than the rate.
	if next.StaticSlots != c.base.Policy.StaticSlots {
		c.addError(field+".static_slots", "is %d, must stay %d after the first note", next.StaticSlots, c.base.Policy.StaticSlots)
	}
}

func (c *checker) policyWeight(field string, w float64) {
	if math.IsNaN(w) || w < 0 || w > maxPolicyWeight {
		c.addError(field, "is %v, must be from 0 to %v", w, float64(maxPolicyWeight))
	}
}
