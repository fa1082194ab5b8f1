package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func member(name string, incarnation uint64) Member {
	port := uint16(1000 + len(name) + int(name[len(name)-1]))
	return Member{
		Host: name, Incarnation: incarnation, Region: "south", FailureDomain: "domain-1", Roles: RoleEntry,
		PeerAddress: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port),
	}
}

// stateWith returns the state of a host that knows the given other hosts.
func stateWith(others ...string) *State {
	s := NewState(start, Settings{Self: member("self", 100), Staleness: 3 * time.Second})
	for _, h := range others {
		s.Step(start, MemberReceived{From: h, Member: member(h, 1)})
	}
	return s
}

func effectsOf[T Effect](effects []Effect) []T {
	var out []T
	for _, e := range effects {
		if x, ok := e.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

func drawMembers(t *rapid.T) []Member {
	var live []Member
	for i := range rapid.IntRange(1, 120).Draw(t, "hosts") {
		m := member(fmt.Sprintf("host-%03d", i), 1)
		m.Region = fmt.Sprint("region-", rapid.IntRange(0, 4).Draw(t, "region"))
		m.FailureDomain = fmt.Sprint("domain-", rapid.IntRange(0, 3).Draw(t, "domain"))
		if rapid.IntRange(0, 9).Draw(t, "role") == 0 {
			m.Roles |= RoleRelay
		}
		live = append(live, m)
	}
	return live
}

// Guards against a disconnected graph, one-sided links, hosts with too many
// neighbours, and a departure that rearranges the graph.
func TestNeighboursFormABoundedConnectedGraph(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := drawMembers(t)
		links := map[string][]string{}
		regions := map[string]int{}
		for _, m := range live {
			links[m.Host] = Neighbours(m.Host, live)
			regions[m.Region]++
		}
		reached := map[string]bool{live[0].Host: true}
		for queue := []string{live[0].Host}; len(queue) > 0; queue = queue[1:] {
			for _, n := range links[queue[0]] {
				require.Contains(t, links[n], queue[0], "links must be symmetric")
				if !reached[n] {
					reached[n] = true
					queue = append(queue, n)
				}
			}
		}
		require.Len(t, reached, len(live))
		relays := 0
		for _, m := range live {
			if len(live) <= MeshLimit {
				require.Len(t, links[m.Host], len(live)-1)
			} else if len(links[m.Host]) > relaysPerRegion {
				relays++
				require.LessOrEqual(t, len(links[m.Host]), regions[m.Region]+relaysPerRegion*len(regions))
			}
		}
		require.LessOrEqual(t, relays, relaysPerRegion*len(regions))
		gone := rapid.IntRange(0, len(live)-1).Draw(t, "gone")
		rest := slices.Delete(slices.Clone(live), gone, gone+1)
		if len(rest) <= MeshLimit {
			return
		}
		for _, m := range rest {
			before := slices.DeleteFunc(slices.Clone(links[m.Host]), func(h string) bool { return h == live[gone].Host })
			after := Neighbours(m.Host, rest)
			if len(links[live[gone].Host]) <= relaysPerRegion {
				require.Equal(t, before, after, "links change when a host that is not a relay leaves")
			} else if len(before) <= relaysPerRegion && len(after) <= relaysPerRegion {
				kept := slices.DeleteFunc(slices.Clone(after), func(h string) bool { return !slices.Contains(before, h) })
				require.NotEmpty(t, kept, "a host must keep one relay when the other leaves")
			}
		}
	})
}

// Guards against a host whose failure goes undetected, and against one that is
// declared dead although another host hears it.
func TestSuspicionNeedsSilenceOnEveryPath(t *testing.T) {
	s := stateWith("a", "b")
	now := start
	tick := func(d time.Duration, heard bool) (effects []Effect) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(100 * time.Millisecond)
			hb := Heartbeat{Host: "a", Incarnation: 1, Token: now.UnixNano()}
			if heard {
				hb.Heard = []LastHeard{{Host: "b", Age: 300 * time.Millisecond}}
			}
			effects = append(effects, s.Step(now, HeartbeatAnswered{Heartbeat: hb})...)
			effects = append(effects, s.Step(now, Tick{})...)
		}
		return effects
	}
	require.Empty(t, effectsOf[Disseminate](tick(10*time.Second, true)))
	require.Equal(t, []string{"b"}, s.silent(now))
	tick(1900*time.Millisecond, false)
	m, _, _ := s.Member(now, "b")
	require.Equal(t, Suspect, m.State)
	tick(1700*time.Millisecond, false)
	m, _, _ = s.Member(now, "b")
	require.Equal(t, Dead, m.State)
	m.Incarnation, m.State = 2, Alive
	live := effectsOf[LiveChanged](s.Step(now, MemberReceived{From: "a", Member: m}))
	require.Equal(t, []string{"a", "b", "self"}, live[0].Live)
}

// Guards against a live host that stays suspect or dead, and against two
// processes with the same host name that keep raising their incarnations.
func TestRefutationAndReplacement(t *testing.T) {
	s := stateWith("a")
	wrong := s.Self()
	wrong.State = Dead
	s.Step(start, MemberReceived{From: "a", Member: wrong})
	require.Equal(t, Alive, s.Self().State)
	require.Greater(t, s.Self().Incarnation, wrong.Incarnation)
	other := s.Self()
	other.Incarnation += 1000
	other.PeerAddress = netip.MustParseAddrPort("10.9.9.9:1")
	now := start.Add(time.Minute)
	s.Step(now, MemberReceived{From: "a", Member: other})
	require.Less(t, s.Self().Incarnation, other.Incarnation)
	s.Step(now, ConfigApplied{Position: Position{1, 1}})
	s.Step(now, LeaderConfirmed{Position: Position{1, 1}, At: now})
	s.Step(now, Tick{})
	require.Equal(t, Stale, s.Freshness(now), "the replaced process must reject requests")
}

// Guards against a replaced host that needs a configuration change on every
// other host, and against messages of its old process that count as the new
// one's.
func TestReplacedHostJoinsUnderItsNewAddress(t *testing.T) {
	s := stateWith("a")
	fresh := member("a", 7)
	fresh.PeerAddress = netip.MustParseAddrPort("10.9.9.9:1")
	s.Step(start, HeartbeatReceived{Call: 1, Heartbeat: Heartbeat{Host: "a", Incarnation: 7, Self: &fresh, Token: 5}})
	m, _, _ := s.Member(start, "a")
	require.Equal(t, fresh.PeerAddress, m.PeerAddress)
	s.Step(start, HeartbeatReceived{Call: 2, Heartbeat: Heartbeat{Host: "a", Incarnation: 1, Token: 9, Applied: Position{9, 9}}})
	require.Equal(t, Position{}, s.Seen())
	effects := s.Step(start, HeartbeatReceived{Call: 3, Heartbeat: Heartbeat{Host: "new", Incarnation: 1}})
	require.True(t, effectsOf[ReplyHeartbeat](effects)[0].Heartbeat.Introduce)
}

// Guards against serving after a pause of the process with evidence from
// before the pause, in the control loop and in traffic goroutines.
func TestPauseMakesTheHostStale(t *testing.T) {
	s := stateWith("a")
	s.Step(start, Tick{})
	s.Step(start, ConfigApplied{Position: Position{1, 1}})
	s.Step(start, LeaderConfirmed{Position: Position{1, 1}, At: start})
	require.Equal(t, ConfirmedByLeader, s.Freshness(start))
	require.Equal(t, Stale, s.Freshness(start.Add(1100*time.Millisecond)), "no tick")
	resumed := start.Add(1200 * time.Millisecond)
	s.Step(resumed, Tick{})
	require.Equal(t, Stale, s.Freshness(resumed))
	s.Step(resumed, LeaderConfirmed{Position: Position{1, 1}, At: resumed})
	require.Equal(t, ConfirmedByLeader, s.Freshness(resumed))
	s.Step(resumed, LeaderConfirmed{Position: Position{1, 2}, At: resumed.Add(1)})
	require.Equal(t, Stale, s.Freshness(resumed), "the leader has a newer configuration")
}

// Guards against an agreed list that follows flapping hosts, shrinks below a
// majority without an operator, or can't be shrunk by an operator.
func TestAgreedListHysteresis(t *testing.T) {
	s := stateWith("a", "b", "c", "d")
	list := AgreedList{Epoch: 1, Hosts: []string{"a", "b", "c", "d", "self"}, Base: 5}
	s.Step(start, AgreedListApplied{List: list})
	s.Step(start, LeadershipChanged{Leading: true})
	now := start
	set := func(host string, state Liveness, incarnation uint64) {
		m := member(host, incarnation)
		m.State = state
		s.Step(now, MemberReceived{From: "x", Member: m})
	}
	run := func(d time.Duration) (p []ProposeMemberList) {
		for end := now.Add(d); now.Before(end); now = now.Add(500 * time.Millisecond) {
			for _, h := range s.neighbours {
				s.contacts[h].heardAt = now
			}
			p = append(p, effectsOf[ProposeMemberList](s.Step(now, Tick{}))...)
		}
		return p
	}
	for i := range uint64(10) {
		set("a", Dead, 2*i+1)
		require.Empty(t, run(RemoveAfter-time.Second))
		set("a", Alive, 2*i+2)
		require.Empty(t, run(5*time.Second))
	}
	set("b", Dead, 2)
	set("c", Dead, 2)
	set("d", Dead, 2)
	p := run(time.Minute)
	require.NotEmpty(t, p)
	require.Len(t, p[0].Hosts, 3)
	require.Contains(t, p[0].Hosts, "self")
	require.Equal(t, 5, p[0].Base)
	for _, h := range []string{"b", "c", "d"} {
		s.Step(now, HostForgotten{Host: h})
	}
	p = run(time.Second)
	require.Equal(t, ProposeMemberList{After: 1, Hosts: []string{"a", "self"}, Base: 2, ByOperator: true}, p[0])
}

// Guards against connection shares that grow before every host uses the new
// epoch.
func TestSharesNeedEveryMember(t *testing.T) {
	s := stateWith("a", "b")
	s.Step(start, AgreedListApplied{List: AgreedList{Epoch: 4, Hosts: []string{"a", "b", "self"}, Base: 3}})
	s.Step(start, SharesInUse{Epoch: 4})
	s.Step(start, HeartbeatAnswered{Heartbeat: Heartbeat{Host: "a", Incarnation: 1, ShareEpoch: 4}})
	s.Step(start, HeartbeatAnswered{Heartbeat: Heartbeat{Host: "b", Incarnation: 1, ShareEpoch: 3}})
	require.False(t, s.SharesInUseEverywhere())
	s.Step(start, HeartbeatAnswered{Heartbeat: Heartbeat{Host: "b", Incarnation: 1, ShareEpoch: 4}})
	require.True(t, s.SharesInUseEverywhere())
}

// Guards against relays on the smallest hosts: after a restart of all hosts,
// every host waits for the connections and CPU of a relay.
func TestRelaysPreferHigherCapacity(t *testing.T) {
	var live []Member
	for i := range 87 {
		m := member(fmt.Sprintf("host-%02d", i), 1)
		m.FailureDomain = fmt.Sprintf("domain-%d", i%5)
		m.Capacity = 3
		if i < 5 {
			m.Capacity = 36
		}
		live = append(live, m)
	}
	relays := Neighbours("host-80", live)
	require.Len(t, relays, relaysPerRegion)
	require.Subset(t, []string{"host-00", "host-01", "host-02", "host-03", "host-04"}, relays)
}
