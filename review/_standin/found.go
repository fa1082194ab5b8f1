package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// link is a proxy that stands for the link from one host to another. While it is cut,
// it takes connections and passes nothing on.
type link struct {
	to   string
	ln   net.Listener
	mu   sync.Mutex
	cut  bool
	held []net.Conn
}

func newLink(from, to string) *link {
	ln, err := net.Listen("tcp", from)
	if err != nil {
		cannotRun("listen for a proxy: %v", err)
	}
	l := &link{to: to, ln: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			if l.cut {
				l.held = append(l.held, c)
				l.mu.Unlock()
				continue
			}
			l.mu.Unlock()
			go l.pass(c)
		}
	}()
	return l
}

func (l *link) pass(c net.Conn) {
	defer c.Close()
	d, err := net.DialTimeout("tcp", l.to, time.Second)
	if err != nil {
		return
	}
	defer d.Close()
	go func() {
		_, _ = io.Copy(d, c)
		_ = d.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(c, d)
}

func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	for _, c := range l.held {
		_ = c.Close()
	}
	l.held = nil
}

// found cuts one host with a disk off from all others for the first seconds of the
// system, and changes the configuration at it long after.
func found(rec *record, trouble bool) string {
	const cutFor = 5800 * time.Millisecond
	f := newFleet(rec, 4, 4)
	defer f.stopAll()
	alone := f.hosts[3]
	var links []*link
	for i, h := range f.hosts[:3] {
		ip := fmt.Sprintf("%s.%d", f.net, 200+i)
		l := newLink(fmt.Sprintf("%s:%d", ip, f.peers), fmt.Sprintf("%s:%d", h.ip, f.peers))
		l.set(trouble)
		defer l.ln.Close()
		links = append(links, l)
		alone.seeds = append(alone.seeds, fmt.Sprintf("\"%s:%d\"", ip, f.control))
	}
	f.startAll()
	began := time.Now()
	if trouble {
		rec.line("%s is cut off", alone.name)
	}
	s := f.startSearcher("landlord-portal", "fukuoka", 2, 8)
	go s.announce()
	defer close(s.stop)
	others := append(append([]*host{}, f.hosts[:3]...), f.hosts[4:]...)
	if !f.awaitConfig(others, 7, config(7, 5000, "safe", s.service, 40), 15*time.Second) {
		f.stopAll()
		cannotRun("the first configuration was not acknowledged")
	}
	time.Sleep(time.Until(began.Add(cutFor)))
	for _, l := range links {
		l.set(false)
	}
	rec.line("no host is cut off")
	f.awaitReady(20 * time.Second)
	time.Sleep(contact + time.Second)
	if !f.awaitConfig([]*host{alone}, 9, config(9, 4000, "safe", s.service, 40), 5*time.Second) {
		f.stopAll()
		cannotRun("the second configuration was not acknowledged")
	}
	time.Sleep(configApply + time.Second)
	end := time.Now().Add(contact + time.Second)
	old, current := 0, 0
	for time.Now().Before(end) {
		for _, h := range f.hosts {
			switch status, version := f.readConfig(h); {
			case status == 200 && version < 9:
				old++
			case status == 200:
				current++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	rec.line("reads with version 9: %d, with an older version: %d", current, old)
	if old > 0 {
		return fmt.Sprintf("CONFIG: %d reads that were sent later than config_apply_ms after version 9 was acknowledged returned an older version, %d returned version 9", old, current)
	}
	return ""
}
