package workload

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/route"
)

// Config configures a Generator.
type Config struct {
	Seed uint64
	// Duration is the length of the workload.
	Duration time.Duration
	// ShiftEvery, if set, is the interval at which other catalogues become
	// popular.
	ShiftEvery time.Duration
	// Flood, if set, is the account that sends FloodFactor times its rate limit
	// from FloodFrom on.
	Flood       proto.AccountID
	FloodFactor float64
	FloodFrom   time.Duration
}

// Arrival is a request of the workload and the time at which it is sent.
type Arrival struct {
	At      time.Duration
	Account proto.AccountID
	Request proto.CallerRequest
	// Cost is the maximum cost of the request, in tokens.
	Cost int64
}

const (
	// sessionGap is the minimum time between two requests of a session, and
	// sessionIdleTimeout the time after which an idle session ends.
	sessionGap         = 1500 * time.Millisecond
	sessionIdleTimeout = 30 * time.Second
	// shiftStep is the number of ranks by which the popularity of catalogues
	// moves at each shift.
	shiftStep = 3
	// callTokens is the cost of a plain call without a body.
	callTokens = 1
	// bytesPerToken converts the size of a body to tokens.
	bytesPerToken = 4
)

// Generator produces the requests of a deployment in order of arrival. The same
// configuration always yields the same requests.
type Generator struct {
	dep  Deployment
	cfg  Config
	rng  *rand.Rand
	zipf *rand.Zipf
	// nextArrival and nextFlood are the times of the next regular request and
	// of the next request of the flooding account beyond its share.
	nextArrival time.Duration
	nextFlood   time.Duration
	serial      int
	sessions    map[proto.AccountID][]*session
}

// session is a series of requests that share a growing prompt.
type session struct {
	id        uint64
	catalogue uint64
	turns     int
	lastUsed  time.Duration
}

// New returns a Generator for the deployment.
func New(dep Deployment, cfg Config) *Generator {
	rng := rand.New(rand.NewPCG(cfg.Seed, 0x6b756d71))
	g := &Generator{
		dep: dep, cfg: cfg, rng: rng, nextFlood: cfg.FloodFrom,
		zipf:     rand.NewZipf(rng, dep.Traffic.ZipfExponent, 1, uint64(dep.Traffic.Catalogues-1)),
		sessions: map[proto.AccountID][]*session{},
	}
	g.nextArrival = g.drawGap(dep.Traffic.Rate)
	g.nextFlood += g.drawGap(g.floodRate())
	return g
}

// drawGap draws an exponentially distributed time between two requests. Without
// a positive rate it returns a time beyond the end of any workload.
func (g *Generator) drawGap(rate float64) time.Duration {
	if rate <= 0 {
		return math.MaxInt64 / 4
	}
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

// floodRate returns the number of requests per second that the flooding account
// sends in addition to its share.
func (g *Generator) floodRate() float64 {
	for _, a := range g.dep.Accounts {
		if a.ID == g.cfg.Flood {
			mean := float64(a.Rate) / rateHeadroom / a.Share / g.dep.Traffic.Rate
			return g.cfg.FloodFactor*float64(a.Rate)/mean - a.Share*g.dep.Traffic.Rate
		}
	}
	return 0
}

// Next returns the next request, or false at the end of the workload.
func (g *Generator) Next() (Arrival, bool) {
	at, account := g.nextArrival, proto.AccountID("")
	if g.nextFlood < g.nextArrival {
		at, account = g.nextFlood, g.cfg.Flood
		g.nextFlood += g.drawGap(g.floodRate())
	} else {
		account = g.account()
		g.nextArrival += g.drawGap(g.dep.Traffic.Rate)
	}
	if at >= g.cfg.Duration {
		return Arrival{}, false
	}
	g.serial++
	a := Arrival{At: at, Account: account}
	a.Request = proto.CallerRequest{
		ID: proto.RequestID(fmt.Sprintf("q%06d", g.serial)), Key: keyHash(account), Timeout: g.dep.Traffic.Timeout,
	}
	if g.rng.Float64() < g.dep.Traffic.CallShare {
		g.fillCall(&a)
	} else {
		g.fillGeneration(&a)
	}
	return a, true
}

// account draws an account in proportion to its share.
func (g *Generator) account() proto.AccountID {
	draw := g.rng.Float64()
	for _, a := range g.dep.Accounts {
		if draw -= a.Share; draw < 0 {
			return a.ID
		}
	}
	return g.dep.Accounts[len(g.dep.Accounts)-1].ID
}

// order is the JSON body of a non-idempotent call.
type order struct {
	Order string `json:"order"`
}

// fillCall makes the arrival a plain call.
func (g *Generator) fillCall(a *Arrival) {
	r := &a.Request
	r.Class = proto.ClassCall
	if g.rng.Float64() >= g.dep.Traffic.OrderShare {
		r.Method = http.MethodGet
		r.Path = fmt.Sprintf("%s%d", g.dep.Traffic.QueryPath, g.rng.IntN(1000))
		a.Cost = callTokens
		return
	}
	name := fmt.Sprintf("%s-%d", a.Account, g.serial)
	body, err := json.Marshal(order{Order: name})
	if err != nil {
		panic(err) // unreachable: a struct of strings always encodes
	}
	r.Method, r.Path, r.Body, r.ContentType = http.MethodPost, g.dep.Traffic.OrderPath, body, "application/json"
	r.IdempotencyKey = name
	a.Cost = max(callTokens, int64(len(body))/bytesPerToken)
}

// fillGeneration makes the arrival a generation request of a session.
func (g *Generator) fillGeneration(a *Arrival) {
	s := g.session(a)
	t := g.dep.Traffic
	r := &a.Request
	r.Class, r.Method, r.Path = proto.ClassGenerate, http.MethodPost, "/v1/completions"
	r.Model, r.Stream = Model, true
	r.Body = []byte(fmt.Sprintf(`{"prompt":"%s"}`, r.ID))
	r.ContentType = "application/json"
	for i := range t.SystemBlocks {
		r.Pieces = append(r.Pieces, piece(a.Account, levelSystem, 0, i))
	}
	for i := range g.catalogueLength(s.catalogue) {
		r.Pieces = append(r.Pieces, piece(a.Account, levelCatalogue, s.catalogue, i))
	}
	for i := range t.SessionBlocks + s.turns - 1 {
		r.Pieces = append(r.Pieces, piece(a.Account, levelSession, s.id, i))
	}
	tail := 100 + g.rng.Int64N(route.PieceTokens-200)
	r.PromptTokens = int64(len(r.Pieces))*route.PieceTokens + tail
	r.MaxTokens = 1 + g.rng.Int64N(t.MaxTokens)
	a.Cost = r.PromptTokens + r.MaxTokens
}

// session returns the session of the next request: with probability
// 1-1/MeanTurns an idle session of the account, if there is one, and otherwise
// a new session.
func (g *Generator) session(a *Arrival) *session {
	active := g.sessions[a.Account]
	kept := active[:0]
	var idle []*session
	for _, s := range active {
		if a.At-s.lastUsed > sessionIdleTimeout {
			continue
		}
		kept = append(kept, s)
		if a.At-s.lastUsed >= sessionGap {
			idle = append(idle, s)
		}
	}
	if len(idle) > 0 && g.rng.Float64() < 1-1/g.dep.Traffic.MeanTurns {
		s := idle[g.rng.IntN(len(idle))]
		s.turns++
		s.lastUsed = a.At
		g.sessions[a.Account] = kept
		return s
	}
	s := &session{id: g.rng.Uint64(), catalogue: g.catalogue(a.At), turns: 1, lastUsed: a.At}
	g.sessions[a.Account] = append(kept, s)
	return s
}

// catalogue draws a catalogue by popularity. Each shift moves the popularity by
// shiftStep ranks.
func (g *Generator) catalogue(at time.Duration) uint64 {
	rank := g.zipf.Uint64()
	if g.cfg.ShiftEvery > 0 {
		rank += shiftStep * uint64(at/g.cfg.ShiftEvery)
	}
	return rank
}

func (g *Generator) catalogueLength(catalogue uint64) int {
	t := g.dep.Traffic
	spread := uint64(t.CatalogueMax - t.CatalogueMin + 1)
	return t.CatalogueMin + int((catalogue*7+3)%spread)
}
