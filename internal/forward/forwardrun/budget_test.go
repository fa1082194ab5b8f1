package forwardrun

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/bootclock"
	"github.com/hawthornlock/hawthornlock/internal/forward"
)

// Guards against a host that repeats the requests of another one beyond what that one has
// granted, or after the grant has expired, when it has no part of the budget itself.
func TestGrantLimitsTheRepeatsOfAnotherHostsRequest(t *testing.T) {
	for name, c := range map[string]struct {
		grant  Grant
		extras int
	}{
		"granted":     {Grant{Attempts: 1, Until: time.Now().Add(time.Hour)}, 1},
		"expired":     {Grant{Attempts: 1, Until: time.Now().Add(-time.Second)}, 0},
		"not granted": {Grant{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			busy := func(_ int, id string, c net.Conn) bool {
				return write(c, "HTTP/1.1 503 Busy\r\nNot-Run: full\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
			}
			one, two, three := startSearcher(t, busy), startSearcher(t, busy), startSearcher(t, busy)
			e := newEngine(t, map[string][]forward.SearcherSpec{"a": {one.spec("t"), two.spec("u"), three.spec("v")}})
			e.SetBudgetShare(BudgetShare{})
			request := call("first", true)
			request.Grant = c.grant
			_, err := e.Do(context.Background(), request)
			require.NotNil(t, err)
			require.Equal(t, 1+c.extras, one.count()+two.count()+three.count())
		})
	}
}

// Guards against grants beyond this host's part of the budget, and outside of the time in
// which the part may be used.
func TestGrantsComeOutOfTheBudget(t *testing.T) {
	e := newEngine(t, nil)
	grants := func(share BudgetShare) (n int) {
		e.SetBudgetShare(share)
		for e.Grant(call("first", true)) > 0 {
			n++
		}
		return n
	}
	now := bootclock.Now()
	require.Zero(t, grants(BudgetShare{}))
	require.Zero(t, grants(BudgetShare{Hosts: 20, From: now.Add(time.Hour), Until: now.Add(2 * time.Hour)}), "too early")
	require.Zero(t, grants(BudgetShare{Hosts: 20, From: now.Add(-time.Hour), Until: now.Add(-time.Second)}), "lapsed")
	require.Equal(t, 4, grants(BudgetShare{Hosts: 20, From: now.Add(-time.Hour), Until: now.Add(time.Hour)}), "0.85 of 100 for 20 hosts")

	s := e.service("a")
	require.False(t, s.grant(time.Now(), 20))
	both := call("second", true)
	both.Route.Splits = append(both.Route.Splits, both.Route.Splits[0])
	both.Route.Splits[0].Service = "b"
	require.Zero(t, e.Grant(both), "one of the services has none left")
	require.Equal(t, 4, func() (n int) {
		for e.service("b").grant(time.Now(), 20) {
			n++
		}
		return n
	}(), "what was not granted is left")
}
