//go:build review

// Command crashed-service crashes all endpoints of one service in one zone while callers use flows
// that they keep open at endpoints of another service there, and checks that those are not reset.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"toucangap/review/standin-2/deployment"
)

const (
	// warmUp is the time before the first crash, crashedFor how long the endpoints are silent,
	// calm the time after it, and crashes their number.
	warmUp     = 14 * time.Second
	crashedFor = 4500 * time.Millisecond
	calm       = 9500 * time.Millisecond
	crashes    = 3
	// alertInterval is the time between two new flows of the crashing service in a zone.
	alertInterval = 9 * time.Millisecond
	alertWork     = 22 * time.Millisecond
	alertBytes    = 1000
	// keptFlows is the number of flows of the other service in a zone, which callers keep open.
	// Each carries a request at every requestInterval, and is closed after keptRequests of them.
	keptFlows       = 8
	requestInterval = 1100 * time.Millisecond
	keptRequests    = 20
	bulletinWork    = 5 * time.Millisecond
	bulletinBytes   = 1000
	callersPerZone  = 3
)

func main() {
	root := flag.String("root", ".", "the repository")
	dir := flag.String("dir", "", "a temporary folder")
	record := flag.String("record", "record.txt", "the file to write")
	trouble := flag.Bool("trouble", true, "crash the endpoints")
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
		var callers []*deployment.Caller
		for n := range callersPerZone {
			c, err := d.AddCaller(z, n)
			if err != nil {
				return 2, err
			}
			callers = append(callers, c)
		}
		l.callers = append(l.callers, callers)
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		l.run(stop)
	}()
	time.Sleep(warmUp)
	record.Line("trouble: %v", trouble)
	for range crashes {
		crash(d, record, trouble)
	}
	close(stop)
	<-ended
	return l.judge(record)
}

// crash ends all endpoints of the alert service in the first zone for crashedFor.
func crash(d *deployment.Deployment, record *deployment.Record, trouble bool) {
	var crashed []*deployment.Endpoint
	d.Locked(func() {
		for _, e := range d.Endpoints() {
			if trouble && e.Service == deployment.Alerts && e.Zone == deployment.Zones[0].Name {
				e.Crash()
				crashed = append(crashed, e)
				record.Line("endpoint %s of %s in %s crashes", e.ID, e.Service, e.Zone)
			}
		}
	})
	time.Sleep(crashedFor)
	d.Locked(func() {
		for _, e := range crashed {
			e.Restore()
		}
		record.Line("%d endpoints are back", len(crashed))
	})
	time.Sleep(calm)
}

// load opens flows until it is stopped.
type load struct {
	deployment *deployment.Deployment
	callers    [][]*deployment.Caller
	ids        uint64
	alerts     []*deployment.Flow
	kept       [][]*keptFlow

	keptOpened, requests, answers, broken, otherResets int
	alertRequests, alertAnswers                        int
}

// keptFlow is a flow that carries several requests.
type keptFlow struct {
	*deployment.Flow
	next time.Duration
	sent int
}

func (l *load) run(stop <-chan struct{}) {
	l.kept = make([][]*keptFlow, len(l.callers))
	ticker := time.NewTicker(alertInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		l.deployment.Locked(func() {
			for z := range l.callers {
				l.openAlert(z)
				if n%10 == 0 && len(l.kept[z]) < keptFlows {
					l.openKept(z)
				}
				l.reviewKept(z)
			}
			l.reviewAlerts()
		})
	}
}

func (l *load) caller(z int) *deployment.Caller {
	l.ids++
	return l.callers[z][l.ids%callersPerZone]
}

// openAlert opens a flow for one request.
func (l *load) openAlert(z int) {
	f := l.caller(z).Open(deployment.Routes[l.ids%2], nil)
	f.Request(l.ids, alertWork, alertBytes)
	l.alertRequests++
	l.alerts = append(l.alerts, f)
}

func (l *load) reviewAlerts() {
	pending := l.alerts[:0]
	for _, f := range l.alerts {
		l.alertAnswers += len(f.Answers)
		l.checkResets(f)
		switch {
		case len(f.Answers) > 0:
			f.Close()
		case !f.Failed:
			pending = append(pending, f)
		}
	}
	l.alerts = pending
}

func (l *load) openKept(z int) {
	f := l.caller(z).Open(deployment.Routes[2], nil)
	l.keptOpened++
	k := &keptFlow{Flow: f}
	l.ask(k)
	l.kept[z] = append(l.kept[z], k)
}

// ask sends a flow's next request.
func (l *load) ask(k *keptFlow) {
	l.ids++
	k.Request(l.ids, bulletinWork, bulletinBytes)
	k.sent++
	k.next = l.deployment.Now() + requestInterval
	l.requests++
}

func (l *load) reviewKept(z int) {
	kept := l.kept[z][:0]
	for _, k := range l.kept[z] {
		switch {
		case k.Failed:
			l.answers += len(k.Answers)
			l.checkResets(k.Flow)
			continue
		case k.sent >= keptRequests && len(k.Answers) == k.sent:
			l.answers += len(k.Answers)
			k.Close()
			continue
		case len(k.Answers) == k.sent && l.deployment.Now() >= k.next:
			l.ask(k)
		}
		kept = append(kept, k)
	}
	l.kept[z] = kept
}

// checkResets applies the rule FLOW (a): while its endpoint lives, with no impairment on it, a
// caller gets no reset on an open flow that the flow's endpoint did not send. No host is impaired.
func (l *load) checkResets(f *deployment.Flow) {
	for _, r := range f.Resets {
		if r.Holder == nil || r.ByHolder || r.Holder.Harmed {
			l.otherResets++
			continue
		}
		l.broken++
		l.deployment.Log.Line("FLOW broken: %s on %s: reset by %s at %.3f s; open at endpoint %s of %s in %s, which has not crashed",
			f.Route().Name, f.Key, r.From, r.At.Seconds(), r.Holder.ID, r.Holder.Service, r.Holder.Zone)
	}
}

func (l *load) judge(record *deployment.Record) (int, error) {
	for _, zone := range l.kept {
		for _, k := range zone {
			l.answers += len(k.Answers)
		}
	}
	record.Line("%d kept flows with %d requests, %d answers; %d other requests, %d answers; %d open flows reset at living endpoints, %d other resets",
		l.keptOpened, l.requests, l.answers, l.alertRequests, l.alertAnswers, l.broken, l.otherResets)
	switch {
	case l.broken > 0:
		return 1, nil
	case l.answers < l.requests*8/10:
		return 2, fmt.Errorf("%d of %d requests on kept flows were answered", l.answers, l.requests)
	}
	return 0, nil
}
