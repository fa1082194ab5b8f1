package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// stop stops one host while it has requests on kept connections that its searchers
// finish within the grace period.
func stop(rec *record, trouble bool) string {
	const (
		requests = 12
		work     = 1200 * time.Millisecond
		timeout  = 5 * time.Second
		sendAt   = 1300 * time.Millisecond // after SIGTERM
	)
	f := newFleet(rec, 4, 4)
	defer f.stopAll()
	f.startAll()
	var searchers []*searcher
	for i := range 2 {
		s := f.startSearcher("landlord-portal", zones[i], 2, 8)
		searchers = append(searchers, s)
		go s.announce()
		defer close(s.stop)
	}
	if !f.awaitConfig(f.hosts, 7, config(7, int(timeout.Milliseconds()), "unsafe", "landlord-portal", 130), 15*time.Second) {
		f.stopAll()
		cannotRun("the configuration was not acknowledged")
	}
	f.awaitReady(10 * time.Second)
	time.Sleep(contact + 2*time.Second)
	stopped := f.hosts[5]
	var callers []*caller
	for i := range requests {
		c, err := f.connect(stopped)
		if err != nil {
			cannotRun("connect: %v", err)
		}
		defer c.close()
		callers = append(callers, c)
		if a := c.call("POST", fmt.Sprintf("warm%04d", i), 20*time.Millisecond, timeout); a.status != 200 || a.closing {
			f.stopAll()
			cannotRun("a request before the stop got status %d", a.status)
		}
	}
	termAt := time.Now()
	if trouble {
		f.signal(stopped, syscall.SIGTERM)
		kill := time.AfterFunc(gracePeriod, func() {
			select {
			case <-stopped.ended:
			default:
				f.signal(stopped, syscall.SIGKILL)
			}
		})
		defer kill.Stop()
	}
	time.Sleep(time.Until(termAt.Add(sendAt)))
	answers := make([]answer, requests)
	var wg sync.WaitGroup
	for i, c := range callers {
		wg.Go(func() { answers[i] = c.call("POST", fmt.Sprintf("a%04d", i), work, timeout) })
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	broken := ""
	n := 0
	for _, a := range answers {
		if a.wrong != "" {
			return "MIXED: " + a.id
		}
		if a.status != 0 {
			continue
		}
		passedOn, excused := false, a.sent.After(termAt.Add(3*time.Second)) || a.done.Sub(a.sent) >= timeout
		for _, s := range searchers {
			for _, x := range s.runsOf(a.id) {
				passedOn = true
				// Still at work in the last sixth of the grace period.
				if x.done.After(termAt.Add(gracePeriod * 5 / 6)) {
					excused = true
				}
				rec.line("%s was at work until %.3f s after SIGTERM", a.id, x.done.Sub(termAt).Seconds())
			}
		}
		if !excused {
			n++
			broken = fmt.Sprintf("LOST: %d requests ended without an answer, the last one %.3f s after SIGTERM and %.3f s after it was sent; passed on to a searcher: %t",
				n, a.done.Sub(termAt).Seconds(), a.done.Sub(a.sent).Seconds(), passedOn)
		}
	}
	return broken
}
