package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// leave lets the last heartbeat of a searcher arrive late, and lets the searcher leave
// with DELETE at another host before the heartbeat has arrived. The searcher exits some
// seconds after drain_ms.
func leave(rec *record, trouble bool) string {
	const (
		timeout = 5 * time.Second
		// late is how late the heartbeat arrives: it was sent over a connection whose
		// link is cut for 5.5 s, and TCP repeats it 0.2, 0.6, 1.4, 3.0 and 6.2 s later.
		late = 6300 * time.Millisecond
		// exit is when the searcher exits, after its DELETE was acknowledged.
		exit = 7200 * time.Millisecond
	)
	f := newFleet(rec, 4, 4)
	defer f.stopAll()
	f.startAll()
	stays := f.startSearcher("landlord-portal", "fukuoka", 2, 8)
	leaves := f.startSearcher("landlord-portal", "oita", 2, 8)
	go stays.announce()
	defer close(stays.stop)
	behind, other := f.hosts[7], f.hosts[5] // of oita and kumamoto, both without a disk
	beat := func() {
		if !leaves.beat(f.controlOf(behind), "ready") {
			f.stopAll()
			cannotRun("a heartbeat was not acknowledged")
		}
	}
	if !f.awaitConfig(f.hosts, 7, config(7, int(timeout.Milliseconds()), "unsafe", "landlord-portal", 40), 15*time.Second) {
		f.stopAll()
		cannotRun("the configuration was not acknowledged")
	}
	f.awaitReady(10 * time.Second)
	for range 6 {
		beat()
		time.Sleep(heartbeatInterval)
	}
	send := leaves.prepareBeat("ready")
	sentAt := time.Now()
	arrived := make(chan struct{})
	go func() {
		defer close(arrived)
		if trouble {
			time.Sleep(late)
		}
		send(f.controlOf(behind))
	}()
	time.Sleep(300 * time.Millisecond)
	leftAt, ok := leaves.leave(other)
	if !ok {
		f.stopAll()
		cannotRun("DELETE was not acknowledged")
	}
	time.Sleep(time.Until(sentAt.Add(late)))
	<-arrived
	time.Sleep(500 * time.Millisecond)
	// Light traffic at all hosts, which have been in touch all the while.
	var n atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(3 * time.Second)
	lost := make(map[string]bool)
	var mu sync.Mutex
	time.AfterFunc(time.Until(leftAt.Add(exit)), leaves.exit)
	for _, h := range f.hosts {
		wg.Go(func() {
			c, err := f.connect(h)
			if err != nil {
				return
			}
			defer c.close()
			for time.Now().Before(end) {
				a := c.call("POST", fmt.Sprintf("g%05d", n.Add(1)), 900*time.Millisecond, timeout)
				if a.status/100 != 2 && a.status != 503 {
					mu.Lock()
					lost[a.id] = true
					mu.Unlock()
				}
				if a.status == 0 || a.closing {
					return
				}
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	leaves.mu.Lock()
	defer leaves.mu.Unlock()
	count, unanswered := 0, 0
	var first time.Time
	for _, x := range leaves.runs {
		if x.began.Sub(leftAt) <= drainTime {
			continue
		}
		if count == 0 {
			first = x.began
		}
		count++
		if lost[x.id] {
			unanswered++
		}
	}
	if count > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached the searcher later than drain_ms after %s had acknowledged that it is gone, the first %.1f s after it; %d of them, which may run only once, were lost when it exited",
			count, other.name, first.Sub(leftAt).Seconds(), unanswered)
	}
	return ""
}
