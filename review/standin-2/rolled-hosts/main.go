//go:build review

// Command rolled-hosts stops and starts the two hosts of a zone in turn, as operators do for a
// release, while callers open flows that they keep for several requests, and checks that the flows
// stay at their endpoints.
package main

import (
	"flag"
	"fmt"
	"os"
	"syscall"
	"time"

	"toucangap/review/standin-2/deployment"
)

const (
	// warmUp is the time before the first stop, rolls how often both hosts are restarted.
	warmUp = 6 * time.Second
	rolls  = 4
	// gap is the time from a host's return into the rotation to the next stop.
	gap = 1300 * time.Millisecond
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 200 * time.Millisecond
	// zoneInterval is the time between two new flows in the zone whose hosts are rolled,
	// otherInterval in the two other zones together.
	zoneInterval  = 9 * time.Millisecond
	otherInterval = 27 * time.Millisecond
	// A caller sends a second request after a pause of at least minPause and less than maxPause,
	// then closes the flow.
	minPause = 4 * time.Second
	maxPause = 8 * time.Second
	work     = 22 * time.Millisecond
	// callersPerZone is the number of callers' addresses in a zone.
	callersPerZone = 4
)

func main() {
	root := flag.String("root", ".", "the repository")
	dir := flag.String("dir", "", "a temporary folder")
	record := flag.String("record", "record.txt", "the file to write")
	trouble := flag.Bool("trouble", true, "restart the hosts")
	flag.Parse()
	code, err := run(*root, *dir, *record, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		code = 2
	}
	os.Exit(code)
}

func run(root, dir, path string, trouble bool) (int, error) {
	record, err := deployment.NewRecord(path)
	if err != nil {
		return 2, err
	}
	defer record.Close()
	d, err := deployment.New(deployment.Options{Root: root, Dir: dir, Log: record})
	if err != nil {
		return 2, err
	}
	defer d.Close()
	l := &load{deployment: d}
	for z := range deployment.Zones {
		for n := range callersPerZone {
			c, err := d.AddCaller(z, n)
			if err != nil {
				return 2, err
			}
			l.callers[min(z, 1)] = append(l.callers[min(z, 1)], c)
		}
	}
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.run(stop)
	}()
	time.Sleep(warmUp)
	record.Line("trouble: %v", trouble)
	err = roll(d, trouble)
	// The last flows get their second answers.
	close(stop)
	<-ended
	if err != nil {
		return 2, err
	}
	return l.judge(record)
}

// roll restarts both hosts of the first zone in turn, rolls times.
func roll(d *deployment.Deployment, trouble bool) error {
	for range rolls {
		for _, h := range d.Hosts[:2] {
			if !trouble {
				time.Sleep(4 * time.Second)
				continue
			}
			h.Signal(syscall.SIGTERM)
			select {
			case <-h.Exited():
			case <-time.After(deployment.Grace):
				return fmt.Errorf("%s did not end in time", h.Name)
			}
			time.Sleep(restartDelay)
			if err := h.Start(); err != nil {
				return err
			}
			if err := d.Await(10*time.Second, h.Name+" is back", h.InRotation); err != nil {
				return err
			}
			time.Sleep(gap)
		}
	}
	return nil
}

// load opens flows until it is stopped, and then waits for the last ones to end.
type load struct {
	deployment *deployment.Deployment
	// callers holds those of the rolled zone and those of the others.
	callers [2][]*deployment.Caller
	opened  uint64
	flows   []*pausedFlow

	requests, answers, notOpened, givenUp, broken, otherResets int
}

// pausedFlow is a flow between its requests.
type pausedFlow struct {
	*deployment.Flow
	second time.Duration
	asked  bool
}

func (l *load) run(stop <-chan struct{}) {
	ticker := time.NewTicker(zoneInterval)
	defer ticker.Stop()
	var stoppedAt time.Duration
	for n := 0; ; n++ {
		<-ticker.C
		select {
		case <-stop:
			if stoppedAt == 0 {
				stoppedAt = l.deployment.Now()
			}
		default:
		}
		l.deployment.Locked(func() {
			if stoppedAt == 0 {
				l.open(0)
				if n%int(otherInterval/zoneInterval) == 0 {
					l.open(1)
				}
			}
			l.review()
		})
		if stoppedAt > 0 && (len(l.flows) == 0 || l.deployment.Now() > stoppedAt+maxPause+5*time.Second) {
			return
		}
	}
}

// open opens a flow with its first request.
func (l *load) open(group int) {
	l.opened++
	callers := l.callers[group]
	f := callers[l.opened%uint64(len(callers))].Open(deployment.Routes[l.opened%3], nil)
	f.Request(l.opened*10+1, work, 600)
	l.requests++
	pause := minPause + time.Duration(l.opened*7919%uint64((maxPause-minPause).Milliseconds()))*time.Millisecond
	l.flows = append(l.flows, &pausedFlow{Flow: f, second: l.deployment.Now() + pause})
}

// review sends the second requests that are due, and counts and forgets the flows that have ended.
func (l *load) review() {
	kept := l.flows[:0]
	for _, f := range l.flows {
		switch {
		case f.Failed:
			l.count(f)
			continue
		case f.asked && len(f.Answers) == 2:
			l.count(f)
			f.Close()
			continue
		case !f.asked && len(f.Answers) == 1 && l.deployment.Now() >= f.second:
			f.asked = true
			f.Request(f.Answers[0]+1, work, 600)
			l.requests++
		}
		kept = append(kept, f)
	}
	l.flows = kept
}

// count applies the rule FLOW (a): while its endpoint lives, a caller gets no reset on an open flow
// that the flow's endpoint did not send. All impairment is planned work.
func (l *load) count(f *pausedFlow) {
	l.answers += len(f.Answers)
	switch {
	case f.NotOpened:
		l.notOpened++
	case f.GivenUp:
		l.givenUp++
	}
	for _, r := range f.Resets {
		if r.Holder == nil || r.ByHolder {
			l.otherResets++
			continue
		}
		l.broken++
		l.deployment.Log.Line("FLOW broken: %s on %s: reset by %s at %.3f s; open at endpoint %s; its last request went through %s; %d SYN+ACKs of other endpoints before",
			f.Route().Name, f.Key, r.From, r.At.Seconds(), r.Holder.ID, f.Via(), f.OtherAccepters)
	}
}

func (l *load) judge(record *deployment.Record) (int, error) {
	record.Line("%d flows, %d requests, %d answers, %d flows not opened, %d given up, %d reset by others than their endpoint, %d other resets",
		l.opened, l.requests, l.answers, l.notOpened, l.givenUp, l.broken, l.otherResets)
	switch {
	case l.broken > 0:
		return 1, nil
	case l.answers < l.requests*9/10:
		return 2, fmt.Errorf("%d of %d requests were answered", l.answers, l.requests)
	}
	return 0, nil
}
