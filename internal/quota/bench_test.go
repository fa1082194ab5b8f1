package quota

import (
	"fmt"
	"testing"
	"time"
)

func benchHosts(n int) (hosts []string) {
	for i := range n {
		hosts = append(hosts, fmt.Sprintf("host-%05d", i))
	}
	return hosts
}

// BenchmarkNewList measures the cost of a new member list of 8,100 hosts.
func BenchmarkNewList(b *testing.B) {
	hosts := benchHosts(8100)
	for b.Loop() {
		NewList(1, hosts)
	}
}

// BenchmarkSuccessor measures a list of 8,100 hosts in which one host is replaced, with
// 10,000 accounts in use.
func BenchmarkSuccessor(b *testing.B) {
	hosts := benchHosts(8101)
	l := NewList(1, hosts[1:])
	for i := range 10_000 {
		l.Owners(fmt.Sprint("account", i))
	}
	for b.Loop() {
		l.Successor(2, hosts[:8100])
	}
}

// BenchmarkOwners measures the first look at an account after a new list of 8,100 hosts.
func BenchmarkOwners(b *testing.B) {
	l := NewList(1, benchHosts(8100))
	i := 0
	for b.Loop() {
		i++
		l.Owners(fmt.Sprint("account", i))
	}
}

// BenchmarkAcquire measures the decision of an owner about one request.
func BenchmarkAcquire(b *testing.B) {
	hosts := benchHosts(8100)
	a := NewAuthority(NewList(1, hosts).Owners("a")[0])
	now := time.Unix(1000, 0)
	a.Observe(now, 1, hosts, now)
	o := NewOwner(simPolicy, a, 0)
	known := Known{Plan: 1, Listed: true, Limit: Limit{Rate: 1000, Burst: 1000}}
	for b.Loop() {
		now = now.Add(time.Millisecond)
		a.Observe(now, 1, hosts, now)
		o.Acquire(now, Request{Account: "a", Plan: 1, Needed: 1}, known)
	}
}
