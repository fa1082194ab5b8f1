package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// voters freezes two of the four hosts with a disk, takes the disk of a third one
// while they are frozen, and reads the configuration once all are back.
func voters(rec *record, trouble bool) string {
	f := newFleet(rec, 4, 4)
	defer f.stopAll()
	f.startAll()
	s := f.startSearcher("landlord-portal", "fukuoka", 2, 8)
	go s.announce()
	defer close(s.stop)
	if !f.awaitConfig(f.hosts, 7, config(7, 5000, "safe", s.service, 40), 15*time.Second) {
		f.stopAll()
		cannotRun("the first configuration was not acknowledged")
	}
	f.awaitReady(10 * time.Second)
	time.Sleep(contact + time.Second)
	if !f.awaitConfig(f.hosts, 9, config(9, 4000, "safe", s.service, 40), 5*time.Second) {
		f.stopAll()
		cannotRun("the second configuration was not acknowledged")
	}
	time.Sleep(time.Second)
	leader, ok := f.leader()
	if !ok {
		f.stopAll()
		cannotRun("no host leads")
	}
	rec.line("%s leads; version 9 was acknowledged", leader.name)
	// The last of the four by name only listens to the log, as long as all are up.
	names := map[string]*host{}
	for _, h := range f.hosts[:4] {
		names[h.name] = h
	}
	order := []string{"front-fukuoka-1", "front-kagoshima-1", "front-kumamoto-1", "front-oita-1"}
	spare := names[order[3]]
	var frozen []*host
	for _, n := range order[:3] {
		if names[n] != leader && len(frozen) == 0 {
			frozen = append(frozen, names[n])
		}
	}
	frozen = append(frozen, spare)
	if trouble {
		for _, h := range frozen {
			f.signal(h, syscall.SIGSTOP)
		}
		time.Sleep(4500 * time.Millisecond)
		f.signal(leader, syscall.SIGKILL)
		<-leader.ended
		if err := os.RemoveAll(leader.dataDir); err != nil {
			cannotRun("remove a data folder: %v", err)
		}
		rec.line("the disk of %s is lost", leader.name)
		time.Sleep(time.Second)
		f.start(leader, false)
		time.Sleep(time.Second)
		for _, h := range frozen {
			f.signal(h, syscall.SIGCONT)
		}
	}
	return f.readBack(s.service)
}

// readBack waits for the recovery after all machines are back, and reads version 9 as the
// operator does at the end of a day. It returns how the rule was broken.
func (f *fleet) readBack(service string) string {
	rec := f.rec
	back := time.Now()
	rec.line("all machines are back")
	time.Sleep(recovery)
	rec.line("recovery_s has passed; the operator reads for longer than contact_ms")
	good, old := 0, 0
	for time.Since(back) < recovery+20*time.Second {
		for _, h := range f.hosts {
			switch status, version := f.readConfig(h); {
			case status == 200 && version >= 9:
				good++
			case status == 200:
				old++
			}
		}
		if good > 0 && time.Since(back) > recovery+contact {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	after := time.Since(back).Seconds()
	acknowledged := f.awaitConfig(f.hosts, 11, config(11, 3000, "safe", service, 40), 10*time.Second)
	rec.line("reads with version 9: %d, with an older version: %d; a new version is acknowledged: %t", good, old, acknowledged)
	if good == 0 || old > 0 {
		return fmt.Sprintf("CONFIG: %.0f s after all machines were back, no host returns version 9, which was acknowledged (older versions read: %d; a new version acknowledged: %t)",
			after, old, acknowledged)
	}
	return ""
}
