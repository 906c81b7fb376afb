//go:build review

// Command frozen-host freezes one host while callers open flows that they keep for several
// requests, and checks that the flows stay at their endpoints after the host is back in touch.
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
	// frozenFor is how long the host stands still, the value of the small sites.
	frozenFor = 4 * time.Second
	// flowsFor is how long callers open flows at the host, one per flowInterval. Routers take a
	// frozen host out of the rotation meanwhile.
	flowsFor     = 1200 * time.Millisecond
	flowInterval = 25 * time.Millisecond
	// minKept is the number of flows that must be open for the check to mean anything.
	minKept = 8
	// pause is the time from the end of the freeze to the callers' next requests. It is longer
	// than the stable window and shorter than the idle timeout.
	pause = 5 * time.Second
	// backgroundInterval is the time between two short flows of other callers.
	backgroundInterval = 50 * time.Millisecond
)

func main() {
	root := flag.String("root", ".", "the repository")
	dir := flag.String("dir", "", "a temporary folder")
	record := flag.String("record", "record.txt", "the file to write")
	trouble := flag.Bool("trouble", true, "freeze the host")
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
	callers := make([]*deployment.Caller, len(deployment.Zones))
	for z := range callers {
		if callers[z], err = d.AddCaller(z, 0); err != nil {
			return 2, err
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	go background(d, callers, stop)
	time.Sleep(6 * time.Second)

	host := d.Hosts[0]
	record.Line("trouble: %v", trouble)
	if trouble {
		host.Signal(syscall.SIGSTOP)
	}
	frozenAt := d.Now()
	var flows []*deployment.Flow
	for i := 0; d.Now()-frozenAt < flowsFor && host.InRotation(); i++ {
		d.Locked(func() {
			f := callers[0].Open(deployment.Routes[i%2], host)
			f.Request(uint64(1000+i), 10*time.Millisecond, 600)
			flows = append(flows, f)
		})
		time.Sleep(flowInterval)
	}
	time.Sleep(frozenFor - (d.Now() - frozenAt))
	if trouble {
		host.Signal(syscall.SIGCONT)
	}
	time.Sleep(pause)
	record.Line("%s is in touch: %v, in rotation: %v", host.Name, host.InTouch(), host.InRotation())
	if !host.InTouch() || !host.InRotation() {
		return 2, fmt.Errorf("%s is not back", host.Name)
	}
	kept := 0
	d.Locked(func() {
		for i, f := range flows {
			if f.Failed || len(f.Answers) != 1 || d.Holder(f.Key) == nil {
				continue
			}
			kept++
			record.Line("%s: next request %d, %d SYN+ACKs of other endpoints so far", f.Key, 2000+i, f.OtherAccepters)
			f.Request(uint64(2000+i), 10*time.Millisecond, 600)
		}
	})
	time.Sleep(2500 * time.Millisecond)
	return judge(d, record, flows, kept)
}

// judge applies the rule FLOW (a): while its endpoint lives, a caller gets no reset on an open
// flow that the flow's endpoint did not send. All hosts and endpoints are in touch by now.
func judge(d *deployment.Deployment, record *deployment.Record, flows []*deployment.Flow, kept int) (int, error) {
	broken, answered := 0, 0
	d.Locked(func() {
		for _, f := range flows {
			for _, r := range f.Resets {
				if r.Holder != nil && !r.ByHolder {
					broken++
					record.Line("FLOW broken: %s on %s: reset by %s at %.3f s; open at endpoint %s; its last request went through %s",
						f.Route().Name, f.Key, r.From, r.At.Seconds(), r.Holder.ID, f.Via())
				}
			}
			if len(f.Answers) == 2 {
				answered++
			}
		}
	})
	record.Line("%d flows opened, %d of them open before the second request, %d answered twice, %d reset by others than their endpoint",
		len(flows), kept, answered, broken)
	switch {
	case broken > 0:
		return 1, nil
	case kept < minKept:
		return 2, fmt.Errorf("only %d of %d flows were open", kept, len(flows))
	}
	return 0, nil
}

// background sends short flows of other callers, so that hosts serve as usual.
func background(d *deployment.Deployment, callers []*deployment.Caller, stop <-chan struct{}) {
	ticker := time.NewTicker(backgroundInterval)
	defer ticker.Stop()
	var former []*deployment.Flow
	for id := uint64(100_000); ; id++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		d.Locked(func() {
			f := callers[id%uint64(len(callers))].Open(deployment.Routes[id%3], nil)
			f.Request(id, 10*time.Millisecond, 600)
			former = append(former, f)
			if len(former) > 40 {
				former[0].Close()
				former = former[1:]
			}
		})
	}
}
