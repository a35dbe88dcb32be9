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

// Config sets up a Generator.
type Config struct {
	Seed     uint64
	Duration time.Duration
	// ShiftEvery, if set, makes other catalogues popular after that time.
	ShiftEvery time.Duration
	// Flood, if set, makes one account send FloodFactor times its rate from
	// FloodFrom on.
	Flood       proto.AccountID
	FloodFactor float64
	FloodFrom   time.Duration
}

// Arrival is one request of the workload.
type Arrival struct {
	At      time.Duration
	Account proto.AccountID
	Request proto.CallerRequest
	// Cost is the most that the request may cost, in tokens.
	Cost int64
}

// sessionGap is the least time between two requests of a session, and
// sessionLife the time after which an idle session ends.
const (
	sessionGap  = 1500 * time.Millisecond
	sessionLife = 30 * time.Second
	// shiftStep is the number of ranks by which popularity moves in a shift.
	shiftStep = 3
	// callTokens is the cost of a plain call without a body.
	callTokens = 1
	// bytesPerToken turns body sizes into tokens.
	bytesPerToken = 4
)

// Generator produces the requests of a deployment in the order of their
// arrival. It gives the same requests for the same configuration.
type Generator struct {
	dep      Deployment
	cfg      Config
	rng      *rand.Rand
	zipf     *rand.Zipf
	now      time.Duration
	flood    time.Duration
	serial   int
	sessions map[proto.AccountID][]*session
}

type session struct {
	id        uint64
	catalogue uint64
	turns     int
	used      time.Duration
}

// New returns a Generator.
func New(dep Deployment, cfg Config) *Generator {
	rng := rand.New(rand.NewPCG(cfg.Seed, 0x6b756d71))
	g := &Generator{
		dep: dep, cfg: cfg, rng: rng, flood: cfg.FloodFrom,
		zipf:     rand.NewZipf(rng, dep.Traffic.ZipfExponent, 1, uint64(dep.Traffic.Catalogues-1)),
		sessions: map[proto.AccountID][]*session{},
	}
	g.now = g.gap(dep.Traffic.Rate)
	g.flood += g.gap(g.floodRate())
	return g
}

func (g *Generator) gap(rate float64) time.Duration {
	if rate <= 0 {
		return math.MaxInt64 / 4
	}
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

// floodRate is the number of requests/s that the flooding account sends
// beyond its share.
func (g *Generator) floodRate() float64 {
	for _, a := range g.dep.Accounts {
		if a.ID == g.cfg.Flood {
			mean := float64(a.Rate) / rateHeadroom / a.Share / g.dep.Traffic.Rate
			return g.cfg.FloodFactor*float64(a.Rate)/mean - a.Share*g.dep.Traffic.Rate
		}
	}
	return 0
}

// Next returns the next request, and false after the end of the workload.
func (g *Generator) Next() (Arrival, bool) {
	at, account := g.now, proto.AccountID("")
	if g.flood < g.now {
		at, account = g.flood, g.cfg.Flood
		g.flood += g.gap(g.floodRate())
	} else {
		account = g.account()
		g.now += g.gap(g.dep.Traffic.Rate)
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
		g.call(&a)
	} else {
		g.generation(&a)
	}
	return a, true
}

func (g *Generator) account() proto.AccountID {
	draw := g.rng.Float64()
	for _, a := range g.dep.Accounts {
		if draw -= a.Share; draw < 0 {
			return a.ID
		}
	}
	return g.dep.Accounts[len(g.dep.Accounts)-1].ID
}

type order struct {
	Order string `json:"order"`
}

func (g *Generator) call(a *Arrival) {
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
		panic(err) // a struct of strings always encodes
	}
	r.Method, r.Path, r.Body, r.ContentType = http.MethodPost, g.dep.Traffic.OrderPath, body, "application/json"
	r.IdempotencyKey = name
	a.Cost = max(callTokens, int64(len(body))/bytesPerToken)
}

func (g *Generator) generation(a *Arrival) {
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

// session continues a session of the account, or starts one.
func (g *Generator) session(a *Arrival) *session {
	live := g.sessions[a.Account]
	kept := live[:0]
	var idle []*session
	for _, s := range live {
		if a.At-s.used > sessionLife {
			continue
		}
		kept = append(kept, s)
		if a.At-s.used >= sessionGap {
			idle = append(idle, s)
		}
	}
	if len(idle) > 0 && g.rng.Float64() < 1-1/g.dep.Traffic.MeanTurns {
		s := idle[g.rng.IntN(len(idle))]
		s.turns++
		s.used = a.At
		g.sessions[a.Account] = kept
		return s
	}
	s := &session{id: g.rng.Uint64(), catalogue: g.catalogue(a.At), turns: 1, used: a.At}
	g.sessions[a.Account] = append(kept, s)
	return s
}

// catalogue draws a catalogue; after each shift others are popular.
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
