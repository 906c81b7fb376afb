package measure

import (
	"slices"
	"sync"

	"toucangap/standin/baseline"
	"toucangap/standin/lab"
)

// Options selects the runs to make.
type Options struct {
	// Sizes are the numbers of open flows.
	Sizes []int
	// Seeds is the number of seeds for each scenario, starting with seed 1.
	Seeds int
	// Only names the scenarios to run; all scenarios run if it is empty.
	Only []string
	// Baselines enables runs of the baseline policies.
	Baselines bool
	// Workers is the number of concurrent runs.
	Workers int
	// Progress is called after each run unless it is nil.
	Progress func(done, all int, r Result)
}

// singleSize is the number of open flows in scenarios that run at one size only.
const singleSize = 600

// maxBaselineFlows is the largest number of open flows in runs of baselines.
const maxBaselineFlows = 6000

// productPolicy names the product's own decision code in reports.
const productPolicy = "toucangap"

// Result describes one run and holds its results. The JSON report holds the
// fields under their own names.
type Result struct {
	User     string
	Flows    int
	Scenario string
	Group    Group
	// Brain is the name of the policy that the hosts ran.
	Brain   string
	Seed    uint64
	Figures *Figures
}

// job is a pending run.
type job struct {
	size      Size
	scenario  Scenario
	policy    string
	newPolicy func() lab.NewPolicy
	seed      uint64
}

// Run executes all runs selected by the options. The order of the results is
// fixed.
func Run(o Options) []Result {
	jobs := o.jobs()
	results := make([]Result, len(jobs))
	queue := make(chan int)
	var group sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for range max(1, o.Workers) {
		group.Go(func() {
			for i := range queue {
				results[i] = jobs[i].execute()
				mu.Lock()
				done++
				if o.Progress != nil {
					o.Progress(done, len(jobs), results[i])
				}
				mu.Unlock()
			}
		})
	}
	for i := range jobs {
		queue <- i
	}
	close(queue)
	group.Wait()
	return results
}

func (j job) execute() Result {
	return Result{
		User:     j.size.Site.Name,
		Flows:    j.size.Flows,
		Scenario: j.scenario.Name,
		Group:    j.scenario.Group,
		Brain:    j.policy,
		Seed:     j.seed,
		Figures:  runScenario(j.size, j.seed, j.scenario, j.newPolicy()),
	}
}

// jobs lists the runs in the order of o.Sizes.
func (o Options) jobs() []job {
	var out []job
	for _, flows := range o.Sizes {
		for _, sc := range o.scenariosAt(flows) {
			for _, site := range []lab.Site{lab.Solaris, lab.Fastighetsrond} {
				out = append(out, o.jobsFor(Size{site, flows}, sc)...)
			}
		}
	}
	return out
}

// scenariosAt returns the scenarios to run at a number of open flows.
func (o Options) scenariosAt(flows int) []Scenario {
	var out []Scenario
	for _, sc := range Scenarios() {
		if len(o.Only) > 0 && !slices.Contains(o.Only, sc.Name) {
			continue
		}
		if sc.SingleSize && flows != singleSize || sc.MaxFlows > 0 && flows > sc.MaxFlows {
			continue
		}
		out = append(out, sc)
	}
	return out
}

// jobsFor returns the runs of one scenario at one size.
func (o Options) jobsFor(z Size, sc Scenario) []job {
	var out []job
	for seed := uint64(1); seed <= uint64(o.Seeds); seed++ {
		out = append(out, job{z, sc, productPolicy, newProductPolicy, seed})
		if !o.Baselines || !sc.Baselines || z.Flows > maxBaselineFlows {
			continue
		}
		for _, p := range []baseline.Policy{baseline.FlowTables, baseline.Hash, baseline.LeastLoad} {
			out = append(out, job{z, sc, p.String(), func() lab.NewPolicy { return baseline.New(p) }, seed})
		}
	}
	return out
}

// newProductPolicy returns the factory of the unmodified product's policy.
func newProductPolicy() lab.NewPolicy { return lab.NewCore(lab.Mutation{}) }
