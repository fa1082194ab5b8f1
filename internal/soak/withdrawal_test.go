package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// zones are the failure domains of hosts and targets.
var zones = []string{"z0", "z1"}

// evacuationBound is the platform's evacuation_ms.
const evacuationBound = 5 * time.Second

// withdrawal is a time in which a failure domain was withdrawn, from the
// acknowledgement of this order to when its restoration was first sent.
type withdrawal struct {
	zone        string
	from, until time.Time // until is zero while it is withdrawn
}

// changeDomains withdraws the failure domains in turn until ctx ends. It leaves one
// of them withdrawn.
func (cl *cluster) changeDomains(ctx context.Context) {
	rng := rand.New(rand.NewPCG(cl.seed, 2))
	for step := 0; ctx.Err() == nil; step++ {
		if step > 0 {
			last := &cl.withdrawals[step-1]
			last.until = time.Now()
			cl.orderDomain(http.MethodDelete, last.zone)
		}
		zone := zones[step%len(zones)]
		cl.orderDomain(http.MethodPost, zone)
		cl.withdrawals = append(cl.withdrawals, withdrawal{zone: zone, from: time.Now()})
		select {
		case <-ctx.Done():
		case <-time.After(evacuationBound + time.Duration(500+rng.IntN(2500))*time.Millisecond):
		}
	}
}

// orderDomain sends an order to hosts in turn until one acknowledges it.
func (cl *cluster) orderDomain(method, zone string) {
	httpClient := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end, try := time.Now().Add(longPause+recoveryTimeout), 0; time.Now().Before(end); try++ {
		h := cl.hosts[try%len(cl.hosts)]
		r, err := http.NewRequest(method, "http://"+h.address("control")+"/hawthornlock/evacuations/"+zone, nil)
		if err != nil {
			break
		}
		resp, err := httpClient.Do(r)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			return
		}
		if resp.StatusCode/100 == 4 {
			cl.fail("%s refused %s of %s with %d", h.name, method, zone, resp.StatusCode)
		}
		time.Sleep(30 * time.Millisecond)
	}
	cl.fail("%s of %s was not acknowledged", method, zone)
}

// awaitWithdrawal lets the clients go on until every host has been without a fault
// for a second longer than evacuationBound.
func (cl *cluster) awaitWithdrawal() {
	since := cl.withdrawals[len(cl.withdrawals)-1].from
	for _, h := range cl.hosts {
		h.mu.Lock()
		if h.faultUntil.After(since) {
			since = h.faultUntil
		}
		h.mu.Unlock()
	}
	time.Sleep(time.Until(since.Add(evacuationBound + time.Second)))
}

// checkWithdrawn checks that no host without a fault sent a request to a target in a
// failure domain that was withdrawn. A host sends the requests of its callers for a
// single service itself. Any host may have sent a part of a gather, so there all
// hosts must be without a fault. A host that is cut off from the store has one. It
// returns whether the request was bound by a withdrawal, wherever it arrived.
func (cl *cluster) checkWithdrawn(a arrival, r *request) bool {
	bound := false
	for _, w := range cl.withdrawals {
		if !a.at.After(w.from.Add(evacuationBound)) || !w.until.IsZero() && !a.at.Before(w.until) {
			continue
		}
		suspects := []*hostProcess{r.host}
		if r.kind == "all" {
			suspects = cl.hosts
		}
		faults := slices.Clone(cl.outages)
		for _, h := range suspects {
			faults = append(faults, h.faults...)
		}
		if slices.ContainsFunc(faults, func(s span) bool { return s.overlaps(a.at.Add(-evacuationBound), a.at) }) {
			continue
		}
		bound = true
		if a.zone == w.zone {
			cl.fail("%s: %s %s reached a target of %s %v after the acknowledged withdrawal", r.host.name, r.kind, a.id, a.zone, a.at.Sub(w.from))
		}
	}
	return bound
}
