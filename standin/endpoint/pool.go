package endpoint

import (
	"time"
)

// job is a request to run.
type job struct {
	id string
	// expires is the caller's deadline, after which the job is not started; zero
	// means none.
	expires time.Time
	// done is called once with the outcome, while the endpoint is locked.
	done func(outcome)
}

// outcome is the result of a job.
type outcome uint8

// Shed and expired jobs have not run.
const (
	outcomeRun outcome = iota + 1
	outcomeShed
	outcomeExpired
)

// pool runs jobs in a limited number of slots with a bounded queue. It is
// guarded by its endpoint's lock.
type pool struct {
	endpoint *Endpoint
	running  int
	waiting  []job
	// generation changes when the endpoint crashes, which cancels all jobs.
	generation int
}

// submit starts a job if a slot is free, else queues it, or sheds it if the queue
// is full or the endpoint sheds all requests.
func (p *pool) submit(j job) {
	switch {
	case p.endpoint.condition.Shedding:
		p.shed(j)
	case p.running < p.endpoint.config.Slots:
		p.start(j)
	case len(p.waiting) < p.endpoint.config.Queue:
		p.waiting = append(p.waiting, j)
	default:
		p.shed(j)
	}
}

// full reports whether the endpoint sheds all requests or the queue is full.
func (p *pool) full() bool {
	return p.endpoint.condition.Shedding || len(p.waiting) >= p.endpoint.config.Queue
}

func (p *pool) shed(j job) {
	p.endpoint.runLog.counts.Sheds++
	j.done(outcomeShed)
}

// start runs a job in a slot unless its deadline has passed.
func (p *pool) start(j job) {
	if !j.expires.IsZero() && !time.Now().Before(j.expires) {
		p.endpoint.runLog.counts.Expired++
		j.done(outcomeExpired)
		return
	}
	p.running++
	p.endpoint.runLog.run(j.id)
	generation := p.generation
	time.AfterFunc(p.endpoint.serviceTime(j.id), func() { p.finish(j, generation) })
}

// finish completes a job and starts queued ones.
func (p *pool) finish(j job, generation int) {
	p.endpoint.mu.Lock()
	defer p.endpoint.mu.Unlock()
	if generation != p.generation {
		return
	}
	p.running--
	j.done(outcomeRun)
	for p.running < p.endpoint.config.Slots && len(p.waiting) > 0 {
		next := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.start(next)
	}
}

// reset cancels all jobs; their done functions are not called.
func (p *pool) reset() {
	p.generation++
	p.running = 0
	p.waiting = nil
}
