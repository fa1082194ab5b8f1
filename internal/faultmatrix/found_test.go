package faultmatrix

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/control/controlcodec"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/routeplan/plancodec"
)

// foundDisks is the number of hosts with a disk where these find each other.
const foundDisks = 4

// initial returns the voters that the settings name.
func (w *world) initial() []*host {
	if w.find {
		return nil
	}
	return w.voters()
}

func (w *world) findVoters(h *host, o *control.Options) {
	o.Voters = nil
	o.FindVoters, o.ServePlan, o.LossTolerance = true, true, 1
	o.FoundLog = h.starts == 0
	o.Codec = controlcodec.Codec{Plans: decodePlan}
	h.starts++
}

// decodePlan reads a plan whose text is its version.
func decodePlan(source []byte) (*routeplan.Plan, error) {
	p := &routeplan.Plan{}
	_, err := fmt.Sscan(string(source), &p.Version)
	return p, err
}

// foundWorld starts six hosts, four of them with disks, whose settings name no
// voters.
func foundWorld(t *testing.T, name string) *world {
	w := newWorld(t, name, 6)
	w.find = true
	for i, h := range w.hosts {
		h.voter = i < foundDisks
		h.start()
	}
	w.until(10*time.Second, "a leader", func() bool { return w.leader() != nil })
	return w
}

// submitPlan has a plan decided and returns once it is acknowledged.
func (w *world) submitPlan(version uint64) {
	w.t.Helper()
	doc, err := plancodec.NewDocument([]byte(fmt.Sprint(version)), decodePlan)
	require.NoError(w.t, err)
	acknowledged := false
	w.until(15*time.Second, fmt.Sprintf("plan %d is acknowledged", version), func() bool {
		if leader := w.leader(); leader != nil && !acknowledged {
			leader.call(func(token uint64) control.Event {
				return control.Submit{Token: token, Kind: proposals.KindPlan, Data: controlcodec.EncodePlan(w.now, doc), Deadline: w.now.Add(time.Second)}
			}, func(_ any, err error) { acknowledged = acknowledged || err == nil })
		}
		return acknowledged
	})
}

// planEverywhere waits until every running host serves a plan.
func (w *world) planEverywhere(version uint64, limit time.Duration) {
	w.t.Helper()
	w.until(limit, fmt.Sprintf("plan %d is in force everywhere", version), func() bool {
		return !slices.ContainsFunc(w.hosts, func(h *host) bool {
			return h.running() && (h.snapshot.Plan == nil || h.snapshot.Plan.Version != version)
		})
	})
}

func voterNames(h *host) []string {
	var out []string
	for _, v := range h.node.Status().Voters {
		out = append(out, v.Name)
	}
	slices.Sort(out)
	return out
}

// Guards against a system that never starts, or starts as two, where the
// settings name no voters; and against a plan that does not reach hosts without
// a log within the users' bound.
func TestHostsFindTheirVoters(t *testing.T) {
	w := foundWorld(t, "found")
	w.run(5 * time.Second)
	require.Equal(t, []string{"h0", "h1", "h2"}, voterNames(w.leader()))
	require.Len(t, w.leader().node.Status().Learners, 1, "the fourth host with a disk stands by")
	clusters := map[consensus.Identity]bool{}
	for _, h := range w.voters() {
		clusters[h.node.Status().Cluster] = true
	}
	require.Len(t, clusters, 1)
	w.submitPlan(7)
	w.planEverywhere(7, 3*time.Second)
	w.submitPlan(5)
	w.run(time.Second)
	w.planEverywhere(7, 0)
}

// Guards against a lost disk that costs the majority when the next one is lost,
// and against a plan that is lost with them: each voter in turn loses its disk
// and gets its vote back within the time that the users grant.
func TestFoundVotersSurviveLostDisksInTurn(t *testing.T) {
	w := foundWorld(t, "found disks")
	w.run(5 * time.Second)
	for i := range 3 {
		version := uint64(10 + i)
		w.submitPlan(version)
		h := w.hosts[i]
		loseDisk(w, h)
		w.run(500 * time.Millisecond)
		h.start()
		w.run(8 * time.Second)
		require.Len(t, voterNames(w.leader()), 3)
		w.planEverywhere(version, 0)
	}
}

// Guards against a voter that is gone for good and never replaced, and against
// one that returns after it was replaced and serves what it had: it must learn
// newer plans and stand by again.
func TestGoneVoterIsReplacedAndRejoins(t *testing.T) {
	w := foundWorld(t, "found gone")
	w.run(5 * time.Second)
	w.submitPlan(3)
	w.planEverywhere(3, 3*time.Second)
	gone := w.other(w.leader())
	crash(w, gone)
	w.run(16 * time.Second)
	require.NotContains(t, voterNames(w.leader()), gone.name)
	require.Len(t, voterNames(w.leader()), 3)
	w.submitPlan(4)
	gone.start()
	w.until(4*time.Second, "the returned host serves the newest plan", func() bool {
		return gone.snapshot.Plan != nil && gone.snapshot.Plan.Version == 4
	})
	w.until(15*time.Second, "the returned host stands by", func() bool {
		return slices.ContainsFunc(w.leader().node.Status().Learners, func(m consensus.Member) bool { return m.Name == gone.name })
	})
}

// Guards against a loss of all processes at once that loses a plan or keeps the
// hosts from serving for long.
func TestFoundVotersReturnAfterAllStop(t *testing.T) {
	w := foundWorld(t, "found all")
	w.run(5 * time.Second)
	w.submitPlan(9)
	for _, h := range w.hosts {
		crash(w, h)
	}
	w.run(time.Second)
	for _, h := range w.hosts {
		h.start()
	}
	w.planEverywhere(9, 5*time.Second)
	w.until(5*time.Second, "all hosts are ready", func() bool {
		return !slices.ContainsFunc(w.hosts, func(h *host) bool { return !h.snapshot.Ready })
	})
}

// Plays a voter that is gone for good, and five seconds later another one that
// loses its disk while all others lose power: the time after which the users may
// take a second host with a disk. Guards against a lost voter that still counts
// for the majority then, so that no leader is ever elected again.
func TestGoneVoterIsReplacedBeforeTheNextLoss(t *testing.T) {
	w := foundWorld(t, "found gone twice")
	w.run(5 * time.Second)
	w.submitPlan(3)
	gone := w.other(w.leader())
	crash(w, gone)
	w.run(5 * time.Second)
	w.submitPlan(4)
	wiped := w.hosts[slices.IndexFunc(w.hosts, func(h *host) bool {
		return h != gone && h != w.leader() && slices.Contains([]string{"h0", "h1", "h2"}, h.name)
	})]
	for _, h := range w.hosts {
		crash(w, h)
	}
	loseDisk(w, wiped)
	w.run(time.Second)
	for _, h := range w.hosts {
		if h != gone {
			h.start()
		}
	}
	w.until(12*time.Second, "a leader with the acknowledged plan", func() bool {
		leader := w.leader()
		return leader != nil && leader.snapshot.Plan != nil && leader.snapshot.Plan.Version == 4
	})
}
