package compare

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/kumquatsill/kumquatsill/proof/measure"
	"github.com/kumquatsill/kumquatsill/proof/workload"
)

// Plan describes the runs of a table. Empty lists select everything.
type Plan struct {
	Deployments []workload.Deployment
	Conditions  []Condition
	Policies    []Policy
	// Seed is the first of Seeds consecutive seeds. The requests of their runs
	// are pooled.
	Seed  uint64
	Seeds int
	// LoadDuration is the time for which each run sends requests; 0 means 90 s.
	LoadDuration time.Duration
	// Parallel is the number of concurrent runs; 0 means 1.
	Parallel int
	// WarmSeeds is the number of seeds for the condition RestartOne; 0 skips it.
	WarmSeeds int
	// Progress, if set, is called after each run. Calls do not overlap.
	Progress func(done, total int)
}

// Row holds the measures of one policy under one condition.
type Row struct {
	Deployment string         `json:"deployment"`
	Condition  Condition      `json:"condition"`
	Policy     Policy         `json:"policy"`
	Report     measure.Report `json:"report"`
	// Probes is the number of agent probes per counted generation.
	Probes float64 `json:"probes_per_generation"`
	// FailedInvariants lists the first failure of each invariant per run,
	// DuplicateOrders counts orders that ran more than once.
	FailedInvariants []string `json:"failed_invariants,omitempty"`
	DuplicateOrders  int      `json:"double_orders"`
}

// Warm holds the hit rates of one restarted router over its first 100 requests,
// and of its peers over the same period, as means over the seeds.
type Warm struct {
	Deployment       string  `json:"deployment"`
	Seeds            int     `json:"seeds"`
	RestartedHitRate float64 `json:"own"`
	PeerHitRate      float64 `json:"peers"`
}

// Table holds the results of a Plan.
type Table struct {
	Seed    uint64        `json:"seed"`
	Seeds   int           `json:"seeds"`
	Elapsed time.Duration `json:"took_ns"`
	Rows    []Row         `json:"rows"`
	Warm    []Warm        `json:"warm"`
	Goals   []Goal        `json:"goals"`
}

func (p Plan) withDefaults() Plan {
	if len(p.Deployments) == 0 {
		p.Deployments = workload.Deployments()
	}
	if len(p.Conditions) == 0 {
		p.Conditions = Conditions()
	}
	if len(p.Policies) == 0 {
		p.Policies = Policies()
	}
	p.Seeds = max(1, p.Seeds)
	p.Parallel = max(1, p.Parallel)
	return p
}

// job holds the runs of one row, one per seed.
type job struct {
	settings Settings
	results  []Result
}

// Measure executes a plan and checks the goals.
func Measure(p Plan) (*Table, error) {
	p = p.withDefaults()
	start := time.Now()
	var jobs []*job
	add := func(d workload.Deployment, c Condition, policy Policy, seeds int) {
		s := Settings{Deployment: d, Condition: c, Policy: policy, Seed: p.Seed, LoadDuration: p.LoadDuration}
		jobs = append(jobs, &job{settings: s, results: make([]Result, seeds)})
	}
	for _, d := range p.Deployments {
		for _, c := range p.Conditions {
			for _, policy := range p.Policies {
				add(d, c, policy, p.Seeds)
			}
		}
		if p.WarmSeeds > 0 {
			add(d, RestartOne, View, p.WarmSeeds)
		}
	}
	if err := runAll(p, jobs); err != nil {
		return nil, err
	}
	t := &Table{Seed: p.Seed, Seeds: p.Seeds}
	for _, j := range jobs {
		if j.settings.Condition == RestartOne {
			t.Warm = append(t.Warm, j.warm())
			continue
		}
		t.Rows = append(t.Rows, j.row())
	}
	t.Goals = goals(t)
	t.Elapsed = time.Since(start)
	return t, nil
}

// runAll executes the runs of all jobs, some concurrently. The results do not
// depend on their order, as each run has its own simulation.
func runAll(p Plan, jobs []*job) error {
	type task struct {
		job  *job
		seed int
	}
	var tasks []task
	for _, j := range jobs {
		for seed := range j.results {
			tasks = append(tasks, task{j, seed})
		}
	}
	queue := make(chan task)
	var mu sync.Mutex
	var errs []error
	done := 0
	var workers sync.WaitGroup
	for range p.Parallel {
		workers.Go(func() {
			for t := range queue {
				s := t.job.settings
				s.Seed += uint64(t.seed)
				result, err := Run(s)
				t.job.results[t.seed] = result
				mu.Lock()
				done++
				if err != nil {
					errs = append(errs, fmt.Errorf("%s, %s, %s, seed %d: %w", s.Deployment.Name, s.Condition, s.Policy, s.Seed, err))
				}
				if p.Progress != nil {
					p.Progress(done, len(tasks))
				}
				mu.Unlock()
			}
		})
	}
	for _, t := range tasks {
		queue <- t
	}
	close(queue)
	workers.Wait()
	return errors.Join(errs...)
}

// row pools the results of all seeds.
func (j *job) row() Row {
	row := Row{Deployment: j.settings.Deployment.Name, Condition: j.settings.Condition, Policy: j.settings.Policy}
	var recorders []*measure.Recorder
	for _, r := range j.results {
		recorders = append(recorders, r.Recorder)
		row.FailedInvariants = append(row.FailedInvariants, r.FailedInvariants...)
		row.DuplicateOrders += r.DuplicateOrders
		row.Probes += float64(r.Probes)
	}
	row.Report = measure.NewReport(recorders...)
	if n := row.Report.Generations; n > 0 {
		row.Probes /= float64(n)
	}
	return row
}

// warm averages the hit rates of the seeds that have them.
func (j *job) warm() Warm {
	w := Warm{Deployment: j.settings.Deployment.Name}
	for _, r := range j.results {
		if !r.Warm {
			continue
		}
		w.Seeds++
		w.RestartedHitRate += r.RestartedHitRate
		w.PeerHitRate += r.PeerHitRate
	}
	if w.Seeds > 0 {
		w.RestartedHitRate /= float64(w.Seeds)
		w.PeerHitRate /= float64(w.Seeds)
	}
	return w
}

// Row returns the row of a policy under a condition, or false if there is none.
func (t *Table) Row(deployment string, c Condition, p Policy) (Row, bool) {
	for _, r := range t.Rows {
		if r.Deployment == deployment && r.Condition == c && r.Policy == p {
			return r, true
		}
	}
	return Row{}, false
}
