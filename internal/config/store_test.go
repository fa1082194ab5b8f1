package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

var start = time.Date(2026, 12, 4, 1, 0, 0, 0, time.UTC)

func putGroup(name, team, site string) Op {
	return PutGroup{Group: routing.Group{Name: name, Team: team, Match: routing.Labels{"site": site}}}
}

func putSelector(name, owner, group string, match routing.Labels) Op {
	return PutSelector{Selector: routing.Selector{Name: name, Owner: owner, Match: match, Group: group}}
}

func change(id, team string, base uint64, ops ...Op) Change {
	return Change{ID: id, Author: "author of " + id, Team: team, Base: base, Ops: ops}
}

// feed applies changes with increasing indexes, one second apart.
type feed struct {
	*Store
	n uint64
}

func newFeed() *feed { return &feed{Store: NewStore()} }

func (f *feed) push(c Change) Result {
	f.n++
	return f.Apply(f.n, start.Add(time.Duration(f.n)*time.Second), c)
}

// seeded returns a feed at revision 3 with groups a and b, and a selector that
// team red owns and that routes to group a.
func seeded(t *testing.T) *feed {
	f := newFeed()
	for i, c := range []Change{
		change("seed1", "red", 0, putGroup("a", "red", "1")),
		change("seed2", "blue", 1, putGroup("b", "blue", "2")),
		change("seed3", "red", 2, putSelector("sa", "red", "a", routing.Labels{"app": "x"})),
	} {
		require.Equal(t, uint64(i+1), f.push(c).Revision)
	}
	return f
}

// Guards against accepting a change that must be refused, and against a
// refusal that changes the state or that a resend overturns.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name  string
		c     Change
		code  verdict.Code
		names []string // what the message must mention
	}{
		{"base in the future", change("x", "red", 9, putGroup("c", "red", "3")), CodeBaseTooNew, []string{"9", "3"}},
		{"object changed since", change("x", "red", 0, putGroup("a", "red", "3")), CodeConflict, []string{"author of seed1", "seed1", "2026-12-04T01:00:01Z", "revision 1"}},
		{"overlapping selector changed since", change("x", "red", 2, putSelector("new", "red", "a", routing.Labels{"tier": "1"})), CodeConflict, []string{`selector "sa"`, "seed3"}},
		{"another team's group", change("x", "blue", 3, putGroup("a", "red", "3")), CodeNotOwner, []string{`"a"`, `"red"`}},
		{"taking over a group", change("x", "blue", 3, putGroup("a", "blue", "3")), CodeNotOwner, []string{`"red"`}},
		{"another team's selector", change("x", "blue", 3, DeleteSelector{"sa"}), CodeNotOwner, []string{`"sa"`}},
		{"unknown group", change("x", "red", 3, putSelector("s", "red", "nowhere", routing.Labels{"app": "x", "tier": "1"})), CodeUnknownGroup, []string{`"nowhere"`}},
		{"group in use", change("x", "red", 3, DeleteGroup{"a"}), CodeGroupInUse, []string{`"a"`, `"sa"`}},
		{"absent group", change("x", "red", 3, DeleteGroup{"zz"}), CodeUnknownObject, []string{`"zz"`}},
		{"ambiguous", change("x", "blue", 3, putSelector("sb", "blue", "b", routing.Labels{"tier": "1"})), CodeAmbiguous, []string{`"sa"`, `"sb"`}},
		{"ambiguous within the change", change("x", "admin", 3, putSelector("s1", "red", "a", routing.Labels{"p": "1", "q": "1"}), putSelector("s2", "blue", "b", routing.Labels{"p": "1", "r": "1"})), CodeAmbiguous, []string{`"s1"`, `"s2"`}},
		{"forget by a team", change("x", "red", 3, ForgetHost{"h1"}), CodeNotOwner, nil},
		{"members by an operator", change("x", AdminTeam, 3, SetMembers{Epoch: 1, Members: []string{"h1"}}), CodeNotOwner, nil},
		{"group by the system team", change("x", SystemTeam, 3, putGroup("c", SystemTeam, "3")), CodeNotOwner, nil},
		{"other content under a used ID", change("seed1", "red", 3, putGroup("c", "red", "3")), CodeContentMismatch, []string{"seed1"}},
		{"no operation", change("x", "red", 3), CodeInvalidChange, nil},
		{"group without labels", change("x", "red", 3, PutGroup{routing.Group{Name: "c", Team: "red"}}), CodeInvalidChange, nil},
		{"one object twice", change("x", "red", 3, putGroup("c", "red", "3"), DeleteGroup{"c"}), CodeInvalidChange, []string{`"c"`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := seeded(t)
			checked := f.Check(tt.c)
			got := f.push(tt.c)
			require.Equal(t, Refused, got.Outcome)
			require.Equal(t, tt.code, got.Code, got.Message)
			require.Equal(t, tt.code, checked.Code)
			require.Equal(t, verdict.NotRun, verdict.Of(got.Err()))
			for _, n := range tt.names {
				require.Contains(t, got.Message, n)
			}
			require.Equal(t, uint64(3), f.Revision())
			again := f.push(tt.c)
			require.Equal(t, Refused, again.Outcome)
			require.True(t, again.Final)
			require.Equal(t, tt.code, again.Code)
		})
	}
}

// Guards against refusing a change with an older base although no later change
// touches its objects.
func TestOlderBaseIsAllowedForOtherObjects(t *testing.T) {
	f := seeded(t)
	require.Equal(t, Accepted, f.push(change("x", "red", 1, putGroup("c", "red", "3"))).Outcome)
	require.Equal(t, Accepted, f.push(change("y", "red", 1, putSelector("sc", "red", "a", routing.Labels{"app": "y"}))).Outcome)
}

// Guards against a missed conflict when the selectors overlapped only before
// the other change, or only before this one.
func TestOverlapCountsBeforeAndAfterAChange(t *testing.T) {
	f := seeded(t)
	f.push(change("moved", "red", 3, putSelector("sa", "red", "a", routing.Labels{"app": "y"})))
	got := f.push(change("x", "red", 3, putSelector("new", "red", "a", routing.Labels{"app": "x", "tier": "1"})))
	require.Equal(t, CodeConflict, got.Code)
	f = seeded(t)
	f.push(change("added", "red", 3, putSelector("sb", "red", "a", routing.Labels{"app": "x", "tier": "1"})))
	got = f.push(change("x", "red", 3, putSelector("sa", "red", "a", routing.Labels{"app": "z"})))
	require.Equal(t, CodeConflict, got.Code)
	require.Equal(t, "added", got.Conflict.ChangeID)
}

// Guards against a late resend, or one by another author under another ID, that
// reverts a later change or is applied a second time.
func TestResendGetsTheFirstResultAndRevertsNothing(t *testing.T) {
	f := seeded(t)
	require.Equal(t, uint64(4), f.push(change("later", "red", 3, putGroup("a", "red", "9"))).Revision)
	for _, id := range []string{"seed1", "colleague's ID", "seed1"} {
		got := f.push(change(id, "red", 0, putGroup("a", "red", "1")))
		require.Equal(t, Accepted, got.Outcome)
		require.Equal(t, uint64(1), got.Revision)
		require.True(t, got.Resend)
		known, ok := f.Lookup(id)
		require.True(t, ok)
		require.Equal(t, uint64(1), known.Revision)
	}
	g, _ := f.Table().Group("a")
	require.Equal(t, "9", g.Match["site"])
	require.Equal(t, uint64(4), f.Revision())
}

// Guards against a log entry that is delivered twice being applied twice.
func TestEntryIsAppliedOnce(t *testing.T) {
	f := seeded(t)
	c := change("c4", "red", 3, putGroup("a", "red", "4"))
	first := f.Apply(4, start, c)
	again := f.Apply(4, start, c)
	require.Equal(t, first.Revision, again.Revision)
	require.Equal(t, uint64(4), f.Revision())
}

// Guards against a change being applied again after its result was dropped,
// and against results that are lost because one proposer's clock is far ahead.
func TestChangesOlderThanTheRecordsAreRefused(t *testing.T) {
	f := seeded(t)
	future := start.Add(2 * MaxRecordAge)
	require.Equal(t, Accepted, f.Apply(4, future, change("c4", "red", 3, putGroup("c", "red", "3"))).Outcome)
	got := f.Apply(5, start, change("seed1", "red", 0, putGroup("a", "red", "1")))
	require.Equal(t, CodeBaseTooOld, got.Code)
	require.True(t, got.Final)
	f.Apply(6, start, change("c6", "red", 4, putGroup("c", "red", "4")))
	got = f.Apply(7, start, change("c6", "red", 4, putGroup("c", "red", "4")))
	require.True(t, got.Resend)
	require.Equal(t, Accepted, got.Outcome)
	require.Equal(t, future, f.Apply(8, start, change("c8", "red", 5, putGroup("c", "red", "5"))).At, "the time of a change must not go back")
}

// Guards against unbounded layouts and against member lists of an older epoch.
func TestSystemChanges(t *testing.T) {
	f := seeded(t)
	for gen := range uint64(MaxLayoutsPerGroup + 3) {
		name := fmt.Sprintf("snap%d", gen)
		require.Equal(t, Accepted, f.push(change(name, SystemTeam, 0, AddLayout{"a", name, gen + 1, []string{"s1", "s2"}})).Outcome)
	}
	require.Len(t, f.Layouts(), MaxLayoutsPerGroup)
	require.Equal(t, uint64(MaxLayoutsPerGroup+3), f.Layouts()[0].Generation)
	require.Equal(t, CodeTooMany, f.push(change("old", SystemTeam, f.Revision(), AddLayout{"a", "snap0", 1, []string{"s1", "s2"}})).Code)
	require.Equal(t, CodeLayoutChanged, f.push(change("other layout", SystemTeam, 0, AddLayout{"a", "snap9", 10, []string{"s1"}})).Code)
	require.Equal(t, Accepted, f.push(change("gone", SystemTeam, 0, RemoveLayout{"a", "snap9"})).Outcome)
	require.Equal(t, Accepted, f.push(change("m5", SystemTeam, 0, SetMembers{5, []string{"h2", "h1"}, 4})).Outcome)
	require.Equal(t, CodeStaleEpoch, f.push(change("m4", SystemTeam, 0, SetMembers{4, []string{"h1"}, 1})).Code)
	require.Equal(t, Accepted, f.push(change("forget", AdminTeam, f.Revision(), ForgetHost{"h1"})).Outcome)
	require.Equal(t, Members{Epoch: 6, Hosts: []string{"h2"}, Base: 3}, f.Members())
	require.Len(t, f.History(0, 100), 4)
}

// Guards against a dry run that changes the state or omits a moved target or
// route.
func TestDryRunShowsWhatMoves(t *testing.T) {
	f := seeded(t)
	targets := []TargetLabels{{"t1", routing.Labels{"site": "1"}}, {"t2", routing.Labels{"site": "2"}}}
	c := change("x", AdminTeam, 3, putGroup("a", "red", "2"), putSelector("sb", "blue", "b", routing.Labels{"app": "x", "tier": "1"}))
	p := f.DryRun(c, targets)
	require.Equal(t, Accepted, p.Result.Outcome)
	require.Equal(t, []GroupMoves{{Group: "a", Enter: []string{"t2"}, Leave: []string{"t1"}}}, p.Groups)
	require.Equal(t, []RouteMove{{
		Request: routing.Request{Labels: routing.Labels{"app": "x", "tier": "1"}},
		Before:  Route{Selector: "sa", Group: "a"}, After: Route{Selector: "sb", Group: "b"},
	}}, p.Routes)
	require.Equal(t, uint64(3), f.Revision())
	f.push(c)
	e, ok := f.Entry(4)
	require.True(t, ok)
	require.Equal(t, []ObjectDiff{
		{Object{KindGroup, "a"}, Replaced, []FieldDiff{{"match", "site=1", "site=2"}}},
		{Object{KindSelector, "sb"}, Created, []FieldDiff{{"group", "", "b"}, {"match", "", "app=x,tier=1"}, {"owner", "", "blue"}}},
	}, Diff(e))
}

// Guards against a routing table that depends on the order in which teams
// push changes that do not conflict.
func TestOrderOfPushesDoesNotMatter(t *testing.T) {
	labels := rapid.MapOfN(rapid.SampledFrom([]string{"k", "l", "m"}), rapid.SampledFrom([]string{"1", "2"}), 0, 3)
	rapid.Check(t, func(t *rapid.T) {
		var ops []Op
		var selectors []routing.Selector
		for i := range rapid.IntRange(1, 10).Draw(t, "selectors") {
			s := routing.Selector{
				Name: fmt.Sprintf("s%d", i), Owner: "red", Team: rapid.SampledFrom([]string{"", "red", "blue"}).Draw(t, "team"),
				Match: labels.Draw(t, "match"), Group: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "group"),
			}
			if len(routing.Ambiguous(append(selectors, s))) == 0 {
				selectors = append(selectors, s)
				ops = append(ops, PutSelector{s})
			}
		}
		push := func(ops []Op) *routing.Table {
			f := newFeed()
			f.push(change("g", AdminTeam, 0, putGroup("a", "red", "1"), putGroup("b", "red", "2")))
			for i, op := range ops {
				res := f.push(change(fmt.Sprintf("c%d", i), "red", f.Revision(), op))
				if res.Outcome != Accepted {
					t.Fatalf("%v", res.Message)
				}
			}
			return f.Table()
		}
		a, b := push(ops), push(rapid.Permutation(ops).Draw(t, "order"))
		require.Equal(t, a, b)
	})
}

func genOp(t *rapid.T) Op {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	team := rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "owner")
	value := rapid.SampledFrom([]string{"1", "2"}).Draw(t, "value")
	switch rapid.IntRange(0, 4).Draw(t, "op") {
	case 0:
		return DeleteGroup{name}
	case 1:
		return DeleteSelector{name}
	case 2, 3:
		return putSelector(name, team, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "group"), routing.Labels{rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key"): value})
	default:
		return putGroup(name, team, value)
	}
}

// Guards against replicas that diverge, results that change on a resend, an
// invalid state, and a snapshot that loses part of the state: the second store
// is restored from a snapshot at random points.
func TestStoreInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, replica := newFeed(), newFeed()
		var sent []Change
		first := map[string]Result{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			c := Change{
				ID: fmt.Sprintf("c%d", len(sent)), Author: "night", Team: rapid.SampledFrom([]string{"red", "blue", "admin"}).Draw(t, "team"),
				Base: rapid.Uint64Range(f.Revision()-min(f.Revision(), 3), f.Revision()).Draw(t, "base"),
			}
			for range rapid.IntRange(1, 2).Draw(t, "ops") {
				c.Ops = append(c.Ops, genOp(t))
			}
			if len(sent) > 0 && rapid.Bool().Draw(t, "resend") {
				c = rapid.SampledFrom(sent).Draw(t, "sent")
			} else {
				sent = append(sent, c)
			}
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
				replica.Store = Restore(replica.State())
			}
			revision := f.Revision()
			got := f.push(c)
			require.Equal(t, got, replica.push(c))
			if want, ok := first[c.ID]; ok && c.Validate() == nil {
				require.Equal(t, want.Outcome, got.Outcome)
				require.Equal(t, want.Revision, got.Revision)
				require.Equal(t, want.Code, got.Code)
				require.Equal(t, revision, f.Revision(), "a resend changed the state")
			} else {
				first[c.ID] = got
			}
			require.Empty(t, routing.Ambiguous(f.Table().Selectors()))
			for _, s := range f.Table().Selectors() {
				_, ok := f.Table().Group(s.Group)
				require.True(t, ok)
			}
			require.Equal(t, f.State(), replica.State())
		}
	})
}

// BenchmarkApply measures the time that recovery takes to apply one change with
// 200 groups and 2,000 selectors.
func BenchmarkApply(b *testing.B) {
	f := newFeed()
	for i := range 200 {
		f.push(change(fmt.Sprintf("g%d", i), AdminTeam, f.Revision(), putGroup(fmt.Sprintf("g%d", i), "red", fmt.Sprint(i))))
	}
	n := 0
	for b.Loop() {
		name := fmt.Sprintf("s%d", n%2000)
		f.push(change(fmt.Sprintf("c%d", n), "red", f.Revision(), putSelector(name, "red", fmt.Sprintf("g%d", n%200), routing.Labels{"app": name, "v": fmt.Sprint(n / 2000)})))
		n++
	}
	require.Equal(b, f.Revision(), uint64(n+200))
}
