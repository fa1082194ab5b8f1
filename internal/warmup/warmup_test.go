package warmup

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testLimit = Limit{Rate: 20, Overage: 1.5, Slack: 5}

func hostNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("h%d", i))
	}
	return out
}

// Guards against shares whose sum exceeds half of the bound, and against a part of the bound
// that nobody may use.
func TestSharesStayWithinHalfOfTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Rate: rapid.Float64Range(0.1, 200).Draw(t, "rate"), Overage: rapid.Float64Range(0, 2).Draw(t, "overage"), Slack: float64(rapid.IntRange(0, 10).Draw(t, "slack"))}
		hosts := hostNames(rapid.IntRange(1, 120).Draw(t, "hosts"))
		sum := 0
		for _, h := range hosts {
			sum += ShareOf(l, "t", h, hosts)
		}
		require.LessOrEqual(t, float64(sum), l.PerSecond()/2)
		require.Greater(t, float64(sum+len(hosts)), min(l.PerSecond()/2, float64(2*len(hosts)))-1)
		require.Zero(t, ShareOf(l, "t", "stranger", hosts))
		require.Zero(t, ShareOf(l, "t", "h0", nil))
	})
}

func target(seq uint64, cold bool) Target {
	return Target{Name: "t", FailureDomain: "d", Incarnation: 1, Seq: seq, Cold: cold, Limit: testLimit, Warmup: 3 * time.Second}
}

func view(x ...Target) View { return View{Epoch: 1, Hosts: []string{"h0"}, Targets: x} }

const testLease = 5 * time.Second

// Guards against a change of behaviour where a service states no bound.
func TestNoBoundChangesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable("h0", now, testLease)
	x := target(1, true)
	x.Limit.Rate = 0
	table.Update(now, View{Targets: []Target{x}})
	table.Lost(now, "t", 1)
	for range 100 {
		require.True(t, table.Admits(now, "t") && table.Begin(now, "t") && table.Send(now, "t"))
	}
	require.True(t, table.Begin(now, "unknown to the table"))
}

// Guards against a host that has just started, or knows no agreed list, and sends requests
// to a cold target which its predecessor or the others have sent already.
func TestStartingHostSendsNothingToAColdTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable("h0", now, testLease)
	table.Update(now, view(target(1, true)))
	require.False(t, table.Admits(now, "t"))
	now = now.Add(window)
	require.True(t, table.Admits(now, "t"))
	v := view(target(1, true))
	v.Epoch = 0
	table.Update(now, v)
	require.False(t, table.Admits(now, "t"))
}

// Guards against a target that is taken for warm although its state is not known, and
// against one that counts as cold for ever.
func TestUnknownStateCountsAsCold(t *testing.T) {
	start := time.Unix(1000, 0)
	restored := view(target(1, false))
	restored.Restored = []string{"d"}
	for name, lose := range map[string]func(*Table, time.Time){
		"restored":        func(x *Table, now time.Time) { x.Update(now, restored) },
		"suspended":       func(x *Table, now time.Time) { x.Forget(now) },
		"lost connection": func(x *Table, now time.Time) { x.Lost(now, "t", 1) },
		"expired": func(x *Table, now time.Time) {
			x.Update(now, view())
			x.Update(now, view(target(2, false)))
		},
	} {
		now := start
		table := NewTable("h0", now, testLease)
		table.Update(now, view(target(1, false)))
		require.False(t, table.Cold(now, "t"), name)
		now = now.Add(10 * time.Second)
		lose(table, now)
		require.True(t, table.Cold(now, "t"), name)
		table.Update(now.Add(time.Second), view(target(3, false)))
		require.True(t, table.Cold(now.Add(time.Second), "t"), "%s: the announcement may have been made before", name)
		require.True(t, table.Cold(now.Add(testLease), "t"), name)
		later := *table.targets["t"]
		table.Update(now.Add(spreadTime), view(target(4, false)))
		require.False(t, table.Cold(now.Add(spreadTime), "t"), "%s: a later announcement", name)
		table.targets["t"] = &later
		require.False(t, table.Cold(now.Add(testLease+spreadTime), "t"), "%s: a lease without another announcement", name)
	}
	table := NewTable("h0", start, testLease)
	table.Update(start, view(target(1, false)))
	table.Lost(start, "t", 1)
	again := target(1, false)
	again.Incarnation = 2
	table.Update(start, view(again))
	require.False(t, table.Cold(start, "t"), "it has started again since and says that it is warm")
	table.Lost(start, "t", 1)
	require.False(t, table.Cold(start, "t"), "a connection to the earlier incarnation")
	table.Lost(start, "t", 2)
	require.True(t, table.Cold(start, "t"))
}

// Guards against a host that has just started, learns of a restore before it has the records
// of the targets there, and takes them for warm.
func TestTargetsThatArriveAfterARestoreCountAsCold(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable("h0", now, testLease)
	restored := view()
	restored.Restored = []string{"d"}
	table.Update(now, restored)
	other := target(1, false)
	other.Name, other.FailureDomain = "other", "e"
	table.Update(now.Add(time.Second), view(target(1, false), other))
	require.True(t, table.Cold(now.Add(time.Second), "t"))
	require.False(t, table.Cold(now.Add(time.Second), "other"))
	end := now.Add(testLease + spreadTime)
	require.True(t, table.Cold(end.Add(-1), "t"))
	require.False(t, table.Cold(end, "t"), "the time counts from the restore")
	late := target(1, false)
	late.Name = "late"
	table.Update(end.Add(time.Second), view(late))
	require.False(t, table.Cold(end.Add(time.Second), "late"))
}

// Guards against an attempt that began before the target became cold, or that waited for
// its connection for long, and is sent beyond the share.
func TestAttemptMustFitTheShareWhenItIsSent(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable("h0", now.Add(-time.Hour), testLease)
	table.Update(now, view(target(1, false)))
	require.True(t, table.Begin(now, "t"))
	table.Update(now, view(target(2, true)))
	require.False(t, table.Send(now, "t"), "it became cold meanwhile")

	share := ShareOf(testLimit, "t", "h0", []string{"h0"})
	for range share {
		require.True(t, table.Begin(now, "t"))
	}
	require.False(t, table.Begin(now, "t"))
	for range share {
		require.True(t, table.Send(now, "t"))
	}
	require.False(t, table.Admits(now.Add(window-1), "t"))
	now = now.Add(window)
	require.True(t, table.Begin(now, "t"))
	now = now.Add(reservation)
	require.False(t, table.Send(now, "t"), "its connection took too long")
	require.True(t, table.Begin(now, "t"), "an attempt that was never sent does not hold the share for ever")
}

// fleet simulates hosts that send as many requests to one target as their tables allow.
type fleet struct {
	rng    *rand.Rand
	now    time.Time
	tables map[string]*Table
	views  map[string]View
	arrive []time.Time // of the requests
}

// start gives a host a new process with a view.
func (f *fleet) start(host string, v View) {
	f.tables[host] = NewTable(host, f.now, testLease)
	f.update(host, v)
}

func (f *fleet) update(host string, v View) {
	f.views[host] = v
	f.tables[host].Update(f.now, v)
}

// step lets every host make several attempts within 10 ms, whose requests take up to 90 ms
// to the target.
func (f *fleet) step(attempts int) {
	for _, host := range slices.Sorted(maps.Keys(f.tables)) {
		for range attempts {
			at := f.now.Add(time.Duration(f.rng.IntN(10)) * time.Millisecond)
			if table := f.tables[host]; table.Begin(at, "t") && table.Send(at, "t") {
				f.arrive = append(f.arrive, at.Add(time.Duration(f.rng.IntN(90))*time.Millisecond))
			}
		}
	}
	f.now = f.now.Add(10 * time.Millisecond)
}

// mostInASecond returns the greatest number of arrivals within any second.
func mostInASecond(arrivals []time.Time) int {
	slices.SortFunc(arrivals, time.Time.Compare)
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a target that becomes cold again in the middle of a burst and gets more
// requests in some second than its bound, all hosts together: hosts that are cut off have an
// older member list, and others start again and forget what they have sent.
func TestBoundHoldsOverAllHostsInEverySecond(t *testing.T) {
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 1))
		hosts := hostNames(66)
		older := append(slices.Clone(hosts[:50]), "old1", "old2", "old3", "old4", "old5", "old6", "old7", "old8")
		f := &fleet{rng: rng, now: time.Unix(1000, 0), tables: map[string]*Table{}, views: map[string]View{}}
		current := func(cold bool, seq uint64) View {
			return View{Epoch: 9, Hosts: hosts, Targets: []Target{target(seq, cold)}}
		}
		for i, h := range hosts {
			v := current(false, 1)
			if i < 20 { // cut off since before the last list
				v.Epoch, v.Hosts = 8, older
			}
			f.start(h, v)
		}
		for range 200 {
			f.step(2)
		}
		require.Greater(t, mostInASecond(f.arrive), int(testLimit.PerSecond()), "a warm target is not bounded")
		for _, h := range hosts {
			v := f.views[h]
			v.Targets = []Target{target(2, true)}
			f.update(h, v)
		}
		f.arrive = nil
		for i := range 1000 {
			if i%7 == 0 {
				h := hosts[rng.IntN(len(hosts))]
				f.start(h, f.views[h])
			}
			if i == 400 { // some of the hosts that were cut off learn of the new list
				for _, h := range hosts[:10] {
					f.update(h, current(true, 2))
				}
			}
			f.step(3)
		}
		require.LessOrEqual(t, mostInASecond(f.arrive), int(testLimit.PerSecond()), "seed %d", seed)
		require.Greater(t, len(f.arrive), 50, "the target is warmed up")
	}
}
