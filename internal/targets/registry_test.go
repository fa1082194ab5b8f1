package targets

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

var start = time.Unix(1_700_000_000, 0)

func announcement(target string, seq uint64, port uint16) Announcement {
	return Announcement{
		Target: target, Incarnation: 1, Seq: seq, FailureDomain: "thu-duc", ConnectionLimit: 30, Phase: Ready,
		Address:        netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port),
		Labels:         map[string]string{"group": "showroom-app"},
		Searchers:      []Searcher{{Name: "s0", Slots: 2, Holds: []Holding{{IndexSnapshot: "v1", Shards: []string{"b", "a"}}}}},
		IndexSnapshots: []IndexSnapshot{{Name: "v1", Generation: 1, Layout: []string{"c", "a", "b"}}},
	}
}

func announce(t *testing.T, r *Registry, now time.Time, a Announcement) []Effect {
	t.Helper()
	effects, err := r.Announce(now, a)
	require.NoError(t, err)
	return effects
}

func disseminated(effects []Effect) []Disseminate {
	var out []Disseminate
	for _, e := range effects {
		if d, ok := e.(Disseminate); ok {
			out = append(out, d)
		}
	}
	return out
}

// Guards against a conflicting or malformed announcement that replaces a valid
// one.
func TestRejectedAnnouncementChangesNothing(t *testing.T) {
	r := NewRegistry("h1")
	announce(t, r, start, announcement("t1", 1, 1001))
	before := r.View()
	layout := announcement("t2", 1, 1002)
	layout.IndexSnapshots[0].Layout = []string{"a", "b"}
	generation := announcement("t2", 1, 1002)
	generation.IndexSnapshots[0].Generation = 9
	outside := announcement("t1", 2, 1001)
	outside.Searchers[0].Holds[0].Shards = []string{"z"}
	twice := announcement("t1", 2, 1001)
	twice.Searchers[0].Holds = append(twice.Searchers[0].Holds, twice.Searchers[0].Holds[0])
	older := announcement("t1", 9, 1001)
	older.Incarnation = 0
	cases := map[verdict.Code][]Announcement{
		CodeLayoutChanged: {layout, generation},
		CodeAddressTaken:  {announcement("t2", 1, 1001)},
		CodeInvalid:       {outside, twice, older},
	}
	for code, list := range cases {
		for _, a := range list {
			_, err := r.Announce(start, a)
			require.Equal(t, code, verdict.CodeOf(err), "%v", err)
			require.Equal(t, verdict.NotRun, verdict.Of(err))
		}
	}
	require.Same(t, before, r.View())
}

// Guards against an older incarnation or seq that replaces a newer one, and
// against an error for a repeated announcement.
func TestOlderAnnouncementsAreRejected(t *testing.T) {
	r := NewRegistry("h1")
	a := announcement("t1", 5, 1001)
	a.Incarnation = 7
	announce(t, r, start, a)
	require.Empty(t, announce(t, r, start, a))
	older := announcement("t1", 99, 1003)
	older.Incarnation = 6
	_, err := r.Announce(start, older)
	require.Equal(t, CodeStale, verdict.CodeOf(err))
	a.Seq, a.ConnectionLimit = 4, 1
	_, err = r.Announce(start, a)
	require.Equal(t, CodeStale, verdict.CodeOf(err))
	peer := NewRegistry("h2")
	announce(t, peer, start, older)
	rec, _, _ := peer.Record(start, "t1")
	require.Empty(t, r.Step(start, RecordReceived{From: "h2", Record: rec}))
}

// Guards against dissemination of renewals to all hosts, which would cost every
// host 110,000 messages a second.
func TestRenewalsReachTheOwnersOnly(t *testing.T) {
	r := NewRegistry("h1")
	r.Step(start, MembersChanged{Live: []string{"h1", "h2", "h3", "h4", "h5"}, Quorate: true})
	now := start
	for i := range 50 {
		announce(t, r, now, announcement(fmt.Sprint("t", i), 1, uint16(1000+i)))
	}
	for i := range 50 {
		require.Empty(t, disseminated(announce(t, r, now.Add(time.Second), announcement(fmt.Sprint("t", i), 2, uint16(1000+i)))))
	}
	forwarded := map[string]int{}
	for _, e := range r.Step(now.Add(1200*time.Millisecond), Tick{}) {
		f, ok := e.(ForwardRenewals)
		require.True(t, ok)
		for _, renewal := range f.Renewals {
			require.NotEqual(t, "h1", f.To)
			forwarded[renewal.Target]++
		}
	}
	for i := range 50 {
		e := r.entries[fmt.Sprint("t", i)]
		want := 2
		if e.owners.contains(r.self) {
			want = 1
		}
		require.Equal(t, want, forwarded[e.rec.Target])
	}
}

// Guards against a target that stays expired although it announces itself again,
// and against a draining or expired target that still receives work.
func TestLeaseLifeCycle(t *testing.T) {
	r := NewRegistry("h1")
	now := start
	announce(t, r, now, announcement("t1", 1, 1001))
	tickUntil := func(end time.Time) (effects []Effect) {
		for ; now.Before(end); now = now.Add(100 * time.Millisecond) {
			effects = append(effects, r.Step(now, Tick{})...)
		}
		return effects
	}
	require.Empty(t, disseminated(tickUntil(start.Add(3*time.Second))))
	require.Equal(t, []Disseminate{{Target: "t1", Urgent: true}}, disseminated(tickUntil(start.Add(3300*time.Millisecond))))
	_, ok := r.View().Target("t1")
	require.False(t, ok)
	_, err := r.Announce(now, announcement("t1", 1, 1001))
	require.Equal(t, CodeStale, verdict.CodeOf(err))
	require.Len(t, disseminated(announce(t, r, now, announcement("t1", 2, 1001))), 1)
	snap, _ := r.View().Snapshot("v1")
	require.Len(t, snap.Replicas("a"), 1)
	require.Empty(t, snap.Replicas("c"))
	a := announcement("t1", 3, 1001)
	a.Phase = Draining
	require.Equal(t, []Disseminate{{Target: "t1", Urgent: true}}, disseminated(announce(t, r, now, a)))
	snap, _ = r.View().Snapshot("v1")
	require.Empty(t, snap.Replicas("a"))
}

// Guards against a drain that ends too early: an announcement sent before the
// drain may arrive after the reply that showed the drain.
func TestObservedDrainOutlastsAnnouncementsInFlight(t *testing.T) {
	r := NewRegistry("h1")
	announce(t, r, start, announcement("t1", 1, 1001))
	require.Empty(t, r.Step(start, DrainObserved{Target: "t1", Incarnation: 2}))
	require.Len(t, disseminated(r.Step(start, DrainObserved{Target: "t1", Incarnation: 1})), 1)
	announce(t, r, start.Add(time.Second), announcement("t1", 2, 1001))
	rec, _ := r.View().Target("t1")
	require.Equal(t, StatusDraining, rec.Status)
	announce(t, r, start.Add(LeasePeriod+time.Second), announcement("t1", 9, 1001))
	rec, _ = r.View().Target("t1")
	require.Equal(t, StatusAlive, rec.Status)
}

// leave returns the registry of a host that saw a reply of t1 saying that it
// leaves.
func leave(t *testing.T) *Registry {
	t.Helper()
	r := NewRegistry("h1")
	announce(t, r, start, announcement("t1", 1, 1001))
	effects := r.Step(start, DrainObserved{Target: "t1", Incarnation: 1, Leaving: true})
	require.Len(t, disseminated(effects), 1)
	require.True(t, disseminated(effects)[0].Urgent)
	return r
}

func record(t *testing.T, r *Registry, now time.Time) *Record {
	t.Helper()
	rec, _, ok := r.Record(now, "t1")
	require.True(t, ok)
	return rec
}

// Guards against new work for a target that said in a reply that it leaves,
// because of a delayed announcement that still says ready, however late it
// arrives, before or after the lease has expired. Only a new incarnation takes work
// again.
func TestLeavingTargetTakesNoWorkAgain(t *testing.T) {
	r := leave(t)
	now := start
	for seq := uint64(2); seq < 12; seq++ {
		now = now.Add(time.Second)
		announce(t, r, now, announcement("t1", seq, 1001))
		r.Step(now, Tick{})
		require.Equal(t, StatusDraining, record(t, r, now).Status)
	}
	for range 60 {
		now = now.Add(100 * time.Millisecond)
		r.Step(now, Tick{})
	}
	require.Equal(t, StatusExpired, record(t, r, now).Status)
	announce(t, r, now, announcement("t1", 50, 1001))
	require.Equal(t, StatusDraining, record(t, r, now).Status)
	next := announcement("t1", 1, 1001)
	next.Incarnation = 2
	announce(t, r, now, next)
	require.Equal(t, StatusAlive, record(t, r, now).Status)
	require.Nil(t, r.Step(now, DrainObserved{Target: "t1", Incarnation: 1, Leaving: true}), "a late reply of the earlier incarnation")
}

// Guards against hosts that disagree on a leaving target: a host that knows a newer
// announcement, a drain, or a renewal that refutes the expiry must take over that
// the target leaves, and no older record may undo it.
func TestLeavingSpreadsOverNewerAnnouncements(t *testing.T) {
	leaving := record(t, leave(t), start)
	expired := leaving.with(1, StatusExpired)
	for name, received := range map[string]*Record{"leaving": leaving, "leaving and expired": expired} {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry("h2")
			for seq := uint64(1); seq < 9; seq++ {
				announce(t, r, start, announcement("t1", seq, 1001))
			}
			alive := record(t, r, start)
			require.Positive(t, received.Compare(alive))
			effects := r.Step(start, RecordReceived{From: "h1", Record: received})
			require.NotEmpty(t, disseminated(effects))
			got := record(t, r, start)
			require.True(t, got.Leaving)
			require.NotEqual(t, StatusAlive, got.Status)
			require.Empty(t, r.Step(start, RecordReceived{From: "h3", Record: alive.with(9, StatusAlive)}))
			require.Empty(t, r.Step(start, DrainObserved{Target: "t1", Incarnation: 1}))
		})
	}
	r := NewRegistry("h2")
	draining := announcement("t1", 2, 1001)
	draining.Phase = Draining
	announce(t, r, start, draining)
	require.NotEmpty(t, r.Step(start, DrainObserved{Target: "t1", Incarnation: 1, Leaving: true}))
	announce(t, r, start, announcement("t1", 3, 1001))
	require.Equal(t, StatusDraining, record(t, r, start).Status)
}

// Guards against an owner that expires live targets because it could not receive
// their renewals: before it owned the leases, during a pause, or in a minority.
func TestOwnersExtendLeasesAfterMissedRenewals(t *testing.T) {
	r := NewRegistry("h1")
	r.Step(start, MembersChanged{Live: []string{"h1", "h2", "h3", "h4", "h5"}, Quorate: true})
	target := ""
	for i := 0; target == ""; i++ {
		if o := r.hosts.owners(xxhash.Sum64String(fmt.Sprint("t", i))); !o.contains(r.self) {
			target = fmt.Sprint("t", i)
		}
	}
	announce(t, r, start, announcement(target, 1, 1001))
	now := start.Add(time.Minute)
	tick := func(d time.Duration) (out []Disseminate) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(100 * time.Millisecond)
			out = append(out, disseminated(r.Step(now, Tick{}))...)
		}
		return out
	}
	require.Empty(t, tick(10*time.Second), "not an owner")
	r.Step(now, MembersChanged{Live: []string{"h1", "h2"}, Quorate: true})
	require.Empty(t, tick(2900*time.Millisecond), "new owner")
	now = now.Add(time.Minute)
	require.Empty(t, tick(2900*time.Millisecond), "pause")
	r.Step(now, MembersChanged{Live: []string{"h1", "h2"}, Quorate: false})
	require.Empty(t, tick(10*time.Second), "minority")
	r.Step(now, MembersChanged{Live: []string{"h1", "h2"}, Quorate: true})
	require.Empty(t, tick(2900*time.Millisecond), "majority regained")
	require.Len(t, tick(1300*time.Millisecond), 1)
}

// Guards against an owner that missed renewals and whose expiry removes a live
// target from the views of all hosts.
func TestRenewalsRefuteAnOlderExpiry(t *testing.T) {
	r := NewRegistry("h1")
	announce(t, r, start, announcement("t1", 1, 1001))
	rec, _, _ := r.Record(start, "t1")
	announce(t, r, start.Add(time.Second), announcement("t1", 2, 1001))
	expiry := RecordReceived{From: "h2", Record: rec.with(1, StatusExpired)}
	effects := r.Step(start.Add(2*time.Second), expiry)
	require.Equal(t, []Disseminate{{Target: "t1", Urgent: true}}, disseminated(effects))
	rec, _, _ = r.Record(start, "t1")
	require.Equal(t, StatusAlive, rec.Status)
	require.EqualValues(t, 2, rec.Seq)
	expiry.Record = rec.with(2, StatusExpired)
	r.Step(start.Add(2*time.Second), expiry)
	require.Zero(t, r.View().Len())
}

// Guards against hosts that keep different layouts because they received two
// conflicting announcements in a different order, and against shards counted
// under the wrong layout.
func TestReplicatedLogDecidesBetweenLayouts(t *testing.T) {
	r := NewRegistry("h1")
	effects := announce(t, r, start, announcement("t1", 1, 1001))
	require.Contains(t, effects, Effect(ProposeLayout{Layout: r.layouts.get("v1")}))
	other := announcement("t2", 1, 1002)
	other.IndexSnapshots[0].Layout = []string{"a", "b", "x"}
	peer := NewRegistry("h2")
	announce(t, peer, start, other)
	rec, _, _ := peer.Record(start, "t2")
	r.Step(start, RecordReceived{From: "h2", Record: rec})
	snap, _ := r.View().Snapshot("v1")
	require.Equal(t, "t1", snap.Replicas("a")[0].Target.Target)
	require.Len(t, snap.Replicas("a"), 1)
	r.Step(start, LayoutCommitted{Layout: peer.layouts.get("v1")})
	snap, _ = r.View().Snapshot("v1")
	require.Equal(t, []string{"a", "b", "x"}, snap.Shards)
	require.Equal(t, "t2", snap.Replicas("a")[0].Target.Target)
	require.Len(t, snap.Replicas("a"), 1)
	r.Step(start, LayoutReceived{Layout: NewLayout("v1", 1, []string{"a", "b", "c"})})
	snap, _ = r.View().Snapshot("v1")
	require.Equal(t, []string{"a", "b", "x"}, snap.Shards, "a committed layout is final")
}

// Guards against a published view that changes under its readers.
func TestPublishedViewIsImmutable(t *testing.T) {
	r := NewRegistry("h1")
	announce(t, r, start, announcement("t1", 1, 1001))
	old := r.View()
	announce(t, r, start, announcement("t2", 1, 1002))
	a := announcement("t1", 2, 1001)
	a.Phase = Draining
	announce(t, r, start, a)
	require.Equal(t, 1, old.Len())
	snap, _ := old.Snapshot("v1")
	require.Len(t, snap.Replicas("b"), 1)
	require.Equal(t, StatusAlive, snap.Replicas("b")[0].Target.Status)
	require.Equal(t, 2, r.View().Len())
}

// Guards against layouts and expired records that accumulate without bound.
func TestUnusedStateIsForgotten(t *testing.T) {
	r := NewRegistry("h1")
	now := start
	for i := range 2 * MaxUnusedLayouts {
		a := announcement("t1", uint64(i+1), 1001)
		name := fmt.Sprint("v", i)
		a.IndexSnapshots[0].Name, a.Searchers[0].Holds[0].IndexSnapshot = name, name
		announce(t, r, now, a)
	}
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		r.Step(now, Tick{})
	}
	require.Len(t, r.layouts.known, MaxUnusedLayouts)
	require.Len(t, r.entries, 1)
	for end := now.Add(ExpiredRetention + LayoutRetention); now.Before(end); now = now.Add(time.Second) {
		r.Step(now, Tick{})
	}
	require.Empty(t, r.layouts.known)
	require.Empty(t, r.entries)
	require.Empty(t, r.View().Snapshots())
}

// Guards against a target that has said that it is gone and takes work again when a heartbeat from before arrives late.
func TestLateHeartbeatDoesNotUndoADeparture(t *testing.T) {
	for name, expired := range map[string]bool{"departed while alive": false, "departed after its lease": true} {
		t.Run(name, func(t *testing.T) {
			r, now := NewRegistry("h1"), start
			r.Step(now, MembersChanged{Live: []string{"h1"}, Quorate: true})
			announce(t, r, now, announcement("t1", 1, 1001))
			pass := func(d time.Duration) {
				for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
					r.Step(now, Tick{})
				}
			}
			if expired {
				pass(2 * LeasePeriod)
			}
			effects, err := r.Depart(now, "t1")
			require.NoError(t, err)
			require.NotEmpty(t, disseminated(effects))
			for seq := uint64(2); seq < 10; seq += 2 {
				pass(LeasePeriod + LeasePeriod/2)
				announce(t, r, now, announcement("t1", seq, 1001))
				r.Step(now, RenewalsReceived{From: "h2", Renewals: []Renewal{{Target: "t1", Incarnation: 1, Seq: seq + 1, ContentHash: record(t, r, now).contentHash}}})
				require.NotEqual(t, StatusAlive, record(t, r, now).Status)
			}
			next := announcement("t1", 1, 1001)
			next.Incarnation = 2
			announce(t, r, now, next)
			require.Equal(t, StatusAlive, record(t, r, now).Status)

			// The statement of the earlier incarnation, which arrives after the restart.
			_, err = r.Depart(now, "t1")
			require.NoError(t, err)
			require.False(t, record(t, r, now).Leaving)
			next.Seq = 2
			pass(LeasePeriod / 2)
			announce(t, r, now, next)
			pass(LeasePeriod * 3 / 4)
			next.Seq = 3
			announce(t, r, now, next)
			require.Equal(t, StatusAlive, record(t, r, now).Status)
		})
	}
	_, err := NewRegistry("h1").Depart(start, "t1")
	require.Equal(t, CodeUnknown, verdict.CodeOf(err))
}
