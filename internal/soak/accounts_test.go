package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// Accounts of the route plan. The keys of rotatedAccount change with the versions,
// and no plan has unknownAccount.
const (
	mainAccount    = "main"
	limitedAccount = "limited"
	rotatedAccount = "rotated"
	unknownAccount = "unknown"
)

// Bounds in the settings of the hosts.
const (
	revocationBound = 5 * time.Second
	quotaWindow     = 5 * time.Second
	quotaOverage    = 0.1
	quotaSlack      = 20.0
)

// Limit of limitedAccount, far below what its callers send.
const (
	limitedRate  = 10.0
	limitedBurst = 5.0
)

// keyVersions is the number of versions after which rotatedAccount gets a new key.
// It keeps a key for twice as many.
const keyVersions = 10

// longPause is longer than the bound on revocations.
const longPause = revocationBound + 1500*time.Millisecond

// planAck is when the operator received the acknowledgement of a version.
type planAck struct {
	version int
	at      time.Time
}

func rotatedKey(generation int) string { return fmt.Sprintf("soak-key-rotated-%d", generation) }

func accountsJSON(version int) string {
	generation := version / keyVersions
	return fmt.Sprintf(`[{"name":%q,"api_keys":["soak-key-main"],"priority":1},{"name":%q,"api_keys":["soak-key-limited"],"priority":1,"rate_per_s":%g,"burst_size":%g},{"name":%q,"api_keys":[%q,%q],"priority":1}]`,
		mainAccount, limitedAccount, limitedRate, limitedBurst, rotatedAccount, rotatedKey(generation), rotatedKey(generation-1))
}

// credential returns a key of an account: for rotatedAccount one of the twelve latest,
// most of which the plan no longer has.
func (cl *cluster) credential(account string) string {
	switch account {
	case "":
		return ""
	case rotatedAccount:
		cl.planMu.Lock()
		defer cl.planMu.Unlock()
		return rotatedKey(max(cl.version/keyVersions-rand.IntN(12), 0))
	}
	return "soak-key-" + account
}

// revocations returns when the first version without a key was acknowledged, by key.
func (cl *cluster) revocations() map[string]time.Time {
	out := map[string]time.Time{}
	cl.planMu.Lock()
	defer cl.planMu.Unlock()
	for _, ack := range cl.planAcks {
		for g := range max(ack.version/keyVersions-1, 0) {
			if at, ok := out[rotatedKey(g)]; !ok || ack.at.Before(at) {
				out[rotatedKey(g)] = ack.at
			}
		}
	}
	return out
}

// checkArrivals compares what the targets saw with what the clients sent.
func (cl *cluster) checkArrivals(clients []*client) {
	requests := map[string]*request{}
	for _, c := range clients {
		for id, r := range c.requests {
			requests[id] = r
		}
	}
	cl.runLog.mu.Lock()
	arrivals := slices.Clone(cl.runLog.arrivals)
	cl.runLog.mu.Unlock()
	revoked := cl.revocations()
	ran := map[string]time.Time{} // first arrival
	bound, late := 0, 0           // requests that withdrawals and removals of keys bound
	for _, a := range arrivals {
		r := requests[a.id]
		if _, ok := ran[a.id]; !ok {
			ran[a.id] = a.at
		}
		if len(a.keys) > 0 {
			cl.fail("%s reached %s with a key", a.id, a.service)
		}
		if want := slices.DeleteFunc([]string{r.account}, func(s string) bool { return s == "" }); !slices.Equal(a.accounts, want) {
			cl.fail("%s: %s %s of account %q reached %s for the accounts %q", r.host.name, r.kind, a.id, r.account, a.service, a.accounts)
		}
		if cl.checkWithdrawn(a, r) {
			bound++
		}
		cl.checkOutages(a, r)
	}
	statuses := map[string]map[int]int{}
	for id, r := range requests {
		if statuses[r.account] == nil {
			statuses[r.account] = map[int]int{}
		}
		statuses[r.account][r.status]++
		_, isRun := ran[id]
		if at, ok := revoked[r.key]; ok && r.sent.After(at.Add(revocationBound)) {
			late++
			if isRun {
				cl.fail("%s: %s ran, though it was sent %v after the acknowledged removal of its key", r.host.name, id, r.sent.Sub(at))
			}
		}
		if isRun && (r.account == unknownAccount || r.status == http.StatusUnauthorized) {
			cl.fail("%s: %s with an unknown key ran, status %d", r.host.name, id, r.status)
		}
		// Hosts that stop or have no recent confirmation of their plan answer 503.
		allowed := []int{0, http.StatusUnauthorized, http.StatusServiceUnavailable}
		if r.account == unknownAccount && !slices.Contains(allowed, r.status) || r.status == http.StatusUnauthorized && !slices.Contains([]string{unknownAccount, rotatedAccount}, r.account) {
			cl.fail("%s: %s of account %q was answered %d", r.host.name, id, r.account, r.status)
		}
	}
	most := cl.checkQuota(requests, ran)
	cl.t.Logf("responses by account and status %v, %d keys removed, %d requests with them past the bound, %d parts bound by withdrawals, %d outages, at most %d requests of the limited account in a window",
		statuses, len(revoked), late, bound, len(cl.outages), most)
	if bound == 0 {
		cl.fail("no request was bound by a withdrawal")
	}
	for account, status := range map[string]int{"": 200, limitedAccount: 429, rotatedAccount: 200, unknownAccount: 401} {
		if statuses[account][status] == 0 {
			cl.fail("no request of account %q was answered %d", account, status)
		}
	}
}

// checkOutages checks that a keyed request did not run at a host whose leader had
// been away for longer than the bound on revocations.
func (cl *cluster) checkOutages(a arrival, r *request) {
	for _, o := range cl.outages {
		if r.key != "" && r.sent.After(o.from.Add(revocationBound)) && a.at.Before(o.until) {
			cl.fail("%s: %s ran, though it was sent %v after the store was cut off", r.host.name, a.id, r.sent.Sub(o.from))
		}
	}
}

// checkQuota checks the bound on limitedAccount for the windows that begin with one
// of its requests. It returns the greatest number of requests in one of them.
func (cl *cluster) checkQuota(requests map[string]*request, ran map[string]time.Time) int {
	bound := (limitedRate*quotaWindow.Seconds()+limitedBurst)*(1+quotaOverage) + quotaSlack
	most := 0
	for first := range ran {
		if requests[first].account != limitedAccount {
			continue
		}
		from, n := requests[first].sent, 0
		for id, at := range ran {
			if requests[id].account == limitedAccount && !requests[id].sent.Before(from) && !at.After(from.Add(quotaWindow)) {
				n++
			}
		}
		most = max(most, n)
	}
	if float64(most) > bound {
		cl.fail("%d requests of the limited account ran within %v, more than %g", most, quotaWindow, bound)
	}
	return most
}
