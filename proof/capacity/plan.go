package capacity

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"
)

const (
	commandRun   = "go run ./proof/cmd/capacity"
	commandBench = "go test -run XXX -bench Capacity/%s/ ./proof/capacity"
)

// Progress is called before each measurement with a description of it.
type Progress func(format string, args ...any)

// Measure runs all measurements. benchTime is the run time of each Go
// benchmark. Measure sets flags of package testing and so must not be called
// from a test.
func Measure(benchTime time.Duration, progress Progress) (Results, error) {
	r := Results{Date: time.Now().UTC().Format(time.DateOnly), Cores: runtime.NumCPU(), GoVersion: runtime.Version()}
	steps := []func(*Results, Progress) error{measureRouters, measureNotesPerDay, measureAgents, measureFleets, measurePartitions}
	for _, step := range steps {
		if err := step(&r, progress); err != nil {
			return Results{}, err
		}
	}
	benched, err := runBenchmarks(benchTime, progress)
	if err != nil {
		return Results{}, err
	}
	r.Series = append(r.Series, benched...)
	return r, r.Validate()
}

// dimension is a size of the fleet that is varied while the others stay at
// those of BaseSizes.
type dimension struct {
	name   string
	target float64
	sizes  []float64
	set    func(s *Sizes, v float64)
}

// dimensions returns all dimensions. The second of their sizes must be that of
// BaseSizes, which is measured only once.
func dimensions() []dimension {
	return []dimension{
		{"routers", TargetRouters, []float64{4, 40, 320}, func(s *Sizes, v float64) { s.Routers = int(v) }},
		{"endpoints", TargetEndpoints, []float64{18, 150, 600}, func(s *Sizes, v float64) { s.Endpoints = int(v) }},
		{"accounts", TargetAccounts, []float64{5, 120, 1200}, func(s *Sizes, v float64) { s.Accounts = int(v) }},
		{"models", TargetModels, []float64{2, 8, 22}, func(s *Sizes, v float64) { s.Models = int(v) }},
		{"requests/s", TargetRequestRate, []float64{1, 5, 14}, func(s *Sizes, v float64) { s.RequestRate = v }},
	}
}

// quantity is a value of a RouterCost that makes a series in each dimension.
type quantity struct {
	id, name, unit, mechanism string
	value                     func(n RouterCost) float64
}

func quantities() []quantity {
	return []quantity{
		{"control-bytes", "control traffic, JSON", "B/s", "beats, grants, config and audit stream", func(n RouterCost) float64 { return n.Control().Bytes }},
		{"control-messages", "control messages", "1/s", "beats, grants, config and audit stream", func(n RouterCost) float64 { return n.Control().Messages }},
		{"control-cpu", "processor, control", "% of a core", "router.Control with JSON", func(n RouterCost) float64 { return n.ControlCPU }},
		{"request-cpu", "processor, requests", "% of a core", "exchange.Exchange and route.View without JSON of requests", func(n RouterCost) float64 { return n.RequestCPU }},
		{"heap", "heap", "MB", "configlog.State, limit.LocalLimiter and Holders, route.View", func(n RouterCost) float64 { return n.HeapBytes / 1e6 }},
		{"riding-bytes", "probes that ride on requests, JSON", "B/s", "exchange probes, 2 or 3 candidates when observations are stale", func(n RouterCost) float64 { return n.Riding.Bytes }},
	}
}

func routerSeriesID(dim, quantity string) string { return "router/" + dim + "/" + quantity }

func measureRouters(r *Results, progress Progress) error {
	progress("one router at the target size")
	var err error
	if r.Target, err = MeasureRouter(TargetSizes()); err != nil {
		return err
	}
	progress("one router at the base size")
	base, err := MeasureRouter(BaseSizes())
	if err != nil {
		return err
	}
	for _, d := range dimensions() {
		costs := make([]RouterCost, len(d.sizes))
		for i, size := range d.sizes {
			if i == 1 {
				costs[i] = base
				continue
			}
			progress("one router with %s = %v", d.name, size)
			s := BaseSizes()
			d.set(&s, size)
			if costs[i], err = MeasureRouter(s); err != nil {
				return err
			}
		}
		for _, q := range quantities() {
			series := Series{
				ID: routerSeriesID(d.name, q.id), Role: RoleRouter, Quantity: q.name, Unit: q.unit, SizeName: d.name,
				Target: d.target, Command: commandRun, Mechanism: q.mechanism,
			}
			for i, n := range costs {
				series.Points = append(series.Points, Point{d.sizes[i], q.value(n)})
			}
			r.Series = append(r.Series, series)
		}
	}
	return nil
}

func measureNotesPerDay(r *Results, progress Progress) error {
	s := Series{ID: "router/notes/cpu", Role: RoleRouter, Quantity: "processor, notes of one change", Unit: "s a day", SizeName: "notes a day", Target: TargetNotesPerDay, Command: commandRun, Mechanism: "configlog.State.Apply, limits, route.View.Configure"}
	for _, notes := range []int{10, 100, TargetNotesPerDay} {
		progress("one router with %d notes", notes)
		seconds, err := MeasureNoteCPU(notes)
		if err != nil {
			return err
		}
		s.Points = append(s.Points, Point{float64(notes), seconds})
	}
	r.Series = append(r.Series, s)
	return nil
}

func measureAgents(r *Results, progress Progress) error {
	byBlocks := Series{ID: "agent/heap", Role: RoleAgent, Quantity: "heap", Unit: "MB", SizeName: "blocks", Target: TargetCacheBlocks, Command: commandRun, Mechanism: "prefix.Index and the agent's memories of attempts"}
	for _, blocks := range []int{1000, 10_000, TargetCacheBlocks} {
		progress("an agent with %d blocks", blocks)
		load := BaseAgent()
		load.Blocks = blocks
		c, err := MeasureAgent(load)
		if err != nil {
			return err
		}
		byBlocks.Points = append(byBlocks.Points, Point{float64(blocks), c.HeapBytes / 1e6})
	}
	byEvents := Series{ID: "agent/cpu", Role: RoleAgent, Quantity: "processor", Unit: "% of a core", SizeName: "events/s", Target: TargetEventRate, Command: commandRun, Mechanism: "agent.Step of CacheEvents with JSON"}
	local := byEvents
	local.ID, local.Quantity, local.Unit, local.Mechanism = "agent/local", "cache events from the engine, on one host", "B/s", "proto.CacheEvents, 10 messages/s at most"
	for _, events := range []float64{2, 20, TargetEventRate} {
		progress("an agent with %v events/s", events)
		load := BaseAgent()
		load.Events = events
		c, err := MeasureAgent(load)
		if err != nil {
			return err
		}
		byEvents.Points = append(byEvents.Points, Point{events, c.CPUPercent})
		local.Points = append(local.Points, Point{events, c.LocalTraffic.Bytes})
	}
	r.Series = append(r.Series, byBlocks, byEvents, local)
	return nil
}

// maxHolders is the number of leases, 24 bucket leases and the rollout lease,
// and so the largest number of routers that renew one.
const maxHolders = 25

func measureFleets(r *Results, progress Progress) error {
	sizes := []int{4, 40, TargetRouters}
	costs := make([]FleetCost, len(sizes))
	for i, n := range sizes {
		progress("a fleet of %d routers", n)
		var err error
		if costs[i], err = MeasureFleet(n); err != nil {
			return err
		}
	}
	for _, f := range []struct {
		id, name, unit, mechanism string
		limit                     float64
		value                     func(FleetCost) float64
	}{
		{"fleet/start", "appends to config until ready, all routers starting at once", "appends", "registrations, slots and claims", 0, func(c FleetCost) float64 { return c.StartAppends }},
		{"fleet/renewals", "lease renewals", "appends/s", "one record a holder each 2 s, 25 leases at most", maxHolders / renewalInterval.Seconds(), func(c FleetCost) float64 { return c.RenewalRate }},
		{"fleet/audit", "audit batches", "appends/s", "router.auditInterval of 5 s", 0, func(c FleetCost) float64 { return c.AuditAppendRate }},
		{"fleet/call", "intents and outcomes", "appends/call", "intent.Table, one intent and one outcome", 0, func(c FleetCost) float64 { return c.AppendsPerCall }},
		{"fleet/restart", "registrations and claims for one router replaced", "records", "register, removeSilent, claims", 0, func(c FleetCost) float64 { return c.RestartRecords }},
		{"fleet/note", "time until a note is in force everywhere, no faults", "s", "long polls of the config stream", 0, func(c FleetCost) float64 { return c.NoteDelaySeconds }},
	} {
		s := Series{ID: f.id, Role: RoleLog, Quantity: f.name, Unit: f.unit, SizeName: "routers", Target: TargetRouters, Command: commandRun, Mechanism: f.mechanism, Cap: f.limit}
		for i, n := range sizes {
			s.Points = append(s.Points, Point{float64(n), f.value(costs[i])})
		}
		r.Series = append(r.Series, s)
	}
	return nil
}

func measurePartitions(r *Results, progress Progress) error {
	for _, n := range []int{8, 40, TargetRouters} {
		progress("%d routers in two partitioned regions", n)
		c, err := MeasurePartition(n)
		if err != nil {
			return err
		}
		r.Partitions = append(r.Partitions, c)
	}
	return nil
}

// runBenchmarks runs all Go benchmarks in this process and returns their series.
func runBenchmarks(benchTime time.Duration, progress Progress) ([]Series, error) {
	testing.Init()
	if err := flag.Set("test.benchtime", benchTime.String()); err != nil {
		return nil, Error.Wrap(err)
	}
	values := map[benchPoint]float64{}
	for _, bench := range Benchmarks() {
		for _, size := range bench.Sizes {
			progress("benchmark %s/%d", bench.Name, size)
			res := testing.Benchmark(func(b *testing.B) { bench.Run(b, size) })
			if res.N == 0 {
				return nil, Error.New("benchmark %s/%d failed", bench.Name, size)
			}
			for _, m := range bench.Metrics {
				values[benchPoint{bench.Name, size, m.Name}] = metricValue(res, m.Name)
			}
		}
	}
	return benchSeries(values)
}

func metricValue(res testing.BenchmarkResult, name string) float64 {
	if v, ok := res.Extra[name]; ok {
		return v
	}
	return float64(res.T.Nanoseconds()) / float64(res.N)
}

// benchPoint identifies a metric of a benchmark at one size.
type benchPoint struct {
	name   string
	size   int
	metric string
}

// benchSeries returns the series of all benchmarks. It fails if a value is
// missing.
func benchSeries(values map[benchPoint]float64) ([]Series, error) {
	var series []Series
	for _, bench := range Benchmarks() {
		for _, m := range bench.Metrics {
			s := Series{
				ID: benchSeriesID(bench.Name, m.Name), Role: bench.Role, Quantity: m.Quantity, Unit: m.Unit, SizeName: bench.SizeName, Target: bench.Target,
				Command: fmt.Sprintf(commandBench, bench.Name), Mechanism: bench.Mechanism,
			}
			for _, size := range bench.Sizes {
				v, ok := values[benchPoint{bench.Name, size, m.Name}]
				if !ok {
					return nil, Error.New("metric %s of benchmark %s/%d is missing", m.Name, bench.Name, size)
				}
				s.Points = append(s.Points, Point{float64(size), v})
			}
			series = append(series, s)
		}
	}
	return series, nil
}

func benchSeriesID(name, metric string) string { return "bench/" + name + "/" + metric }
