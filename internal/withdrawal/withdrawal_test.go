package withdrawal

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an order that is refused when the operator sends it again after a lost
// acknowledgement.
func TestOrderSentAgainIsAcknowledgedAgain(t *testing.T) {
	s := NewStore(nil)
	first := s.Apply(Order{FailureDomain: "a", Withdraw: true})
	require.Equal(t, Result{Revision: 1, Outcome: Applied}, first)
	again := s.Apply(Order{FailureDomain: "a", Withdraw: true})
	require.True(t, again.Acknowledged())
	require.Equal(t, Result{Revision: 2, Outcome: Unchanged}, again)
	require.True(t, s.Apply(Order{FailureDomain: "a", Withdraw: true, Base: 2}).Acknowledged(), "by a host that knows of the first")
	require.Equal(t, []string{"a"}, s.Set().Names())
}

// Guards against a copy of an abandoned order that arrives late, from a host that stood
// still, and undoes the order that was acknowledged after it.
func TestLateCopyDoesNotUndoALaterOrder(t *testing.T) {
	s := NewStore(nil)
	withdraw := Order{FailureDomain: "a", Withdraw: true}
	require.True(t, s.Apply(withdraw).Acknowledged())
	require.True(t, s.Apply(Order{FailureDomain: "a", Base: 1}).Acknowledged())
	require.Equal(t, Overtaken, s.Apply(withdraw).Outcome)
	require.False(t, s.Set().Withdrawn("a"))

	never := NewStore(nil)
	require.True(t, never.Apply(Order{FailureDomain: "a"}).Acknowledged(), "the domain was not withdrawn yet")
	require.Equal(t, Overtaken, never.Apply(withdraw).Outcome, "the abandoned order arrives after the acknowledged one")
	require.True(t, never.Apply(Order{FailureDomain: "b", Withdraw: true}).Acknowledged(), "orders for other domains don't conflict")
}

// Guards against a late copy that undoes an order which was acknowledged, through a host that
// lags behind, because the failure domain was as it asked.
func TestLateCopyDoesNotUndoAnOrderThatFoundItsDomainAsAsked(t *testing.T) {
	s := NewStore(nil)
	require.True(t, s.Apply(Order{FailureDomain: "a", Withdraw: true}).Acknowledged())
	late := Order{FailureDomain: "a", Base: 1} // given up, and a copy is in flight
	require.Equal(t, Unchanged, s.Apply(Order{FailureDomain: "a", Withdraw: true}).Outcome, "through a host that lags behind")
	require.Equal(t, Overtaken, s.Apply(late).Outcome)
	require.True(t, s.Set().Withdrawn("a"))
}

// Guards against an acknowledged order that is not in force until a later one is decided, and
// against a revision that goes back, for any orders, hosts that lag behind, and orders that
// are given up before or after they are decided and arrive late.
func TestLastAcknowledgedOrderIsInForce(t *testing.T) {
	type sentOrder struct {
		Order
		decided bool
	}
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore(nil)
		acknowledged := map[string]int{} // index in sent of the latest acknowledged order
		var sent []sentOrder
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			late := len(sent) > 0 && rapid.Bool().Draw(t, "late")
			i := len(sent)
			if late {
				i = rapid.IntRange(0, len(sent)-1).Draw(t, "which")
			} else {
				current := s.Set().Revision()
				sent = append(sent, sentOrder{Order: Order{
					FailureDomain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"), Withdraw: rapid.Bool().Draw(t, "withdraw"),
					Base: current - min(rapid.Uint64Range(0, 3).Draw(t, "lag"), current),
				}})
				if rapid.Bool().Draw(t, "given up") {
					continue
				}
			}
			o, before := sent[i], s.Set().Revision()
			r := s.Apply(o.Order)
			sent[i].decided = true
			require.GreaterOrEqual(t, r.Revision, before)
			require.Equal(t, s.Set().Revision(), r.Revision)
			latest, ok := acknowledged[o.FailureDomain]
			switch {
			case o.decided || late && ok && i < latest:
				require.NotEqual(t, Applied, r.Outcome, "the order or a later one was decided before")
			case late && r.Outcome == Applied:
				delete(acknowledged, o.FailureDomain) // the operator sent it after the acknowledged one
			case !late && o.Base == before:
				require.True(t, r.Acknowledged(), "an order that knows the current set is not refused")
				acknowledged[o.FailureDomain] = i
			case !late && r.Acknowledged():
				acknowledged[o.FailureDomain] = i
			}
			for domain, i := range acknowledged {
				require.Equal(t, sent[i].Withdraw, s.Set().Withdrawn(domain))
			}
		}
	})
}

// Guards against targets whose state is taken as unknown because a restore was sent again or
// their failure domain was never withdrawn, and against a restore that is overlooked.
func TestOnlyAChangeOfStateCountsAsRestore(t *testing.T) {
	s := NewStore(nil)
	order := func(withdraw bool) {
		require.True(t, s.Apply(Order{FailureDomain: "a", Withdraw: withdraw, Base: s.Set().Revision()}).Acknowledged())
	}
	order(false)
	require.Empty(t, s.Set().RestoredSince(nil), "it was never withdrawn")
	order(true)
	require.Empty(t, s.Set().RestoredSince(nil))
	withdrawn := s.Set()
	order(false)
	restored := s.Set()
	require.Equal(t, []string{"a"}, restored.RestoredSince(withdrawn))
	order(false)
	s.Apply(Order{FailureDomain: "a"})
	require.Empty(t, s.Set().RestoredSince(restored), "the order was sent again")
	require.Equal(t, []string{"a"}, s.Set().RestoredSince(withdrawn), "by a host that saw only the last one")
	require.Equal(t, []string{"a"}, s.Set().RestoredSince(nil), "by a host that has started since")
}

// Guards against a dry run that overlooks a service that would have no searcher, or that
// counts searchers of domains that are withdrawn already.
func TestPreviewCountsWhatIsLeft(t *testing.T) {
	s := NewStore(nil)
	s.Apply(Order{FailureDomain: "a", Withdraw: true})
	searchers := []Searcher{{"x", "a", 2}, {"x", "b", 2}, {"x", "c", 3}, {"y", "b", 4}}
	got := Preview(s.Set(), Order{FailureDomain: "b", Withdraw: true}, []string{"x", "y", "z"}, searchers)
	require.Equal(t, []Capacity{
		{Service: "x", Searchers: 2, Slots: 5, SearchersAfter: 1, SlotsAfter: 3},
		{Service: "y", Searchers: 1, Slots: 4},
		{Service: "z"},
	}, got)
	require.False(t, got[0].Lost())
	require.True(t, got[1].Lost())
	require.False(t, got[2].Lost(), "it had none before")
	restored := Preview(s.Set(), Order{FailureDomain: "a"}, nil, searchers)
	require.Equal(t, 3, restored[0].SearchersAfter)
	require.Equal(t, []string{"a"}, s.Set().Names(), "a preview changes nothing")
}

// Guards against a state that grows with every name that an order may hold.
func TestRecordsAreBounded(t *testing.T) {
	s := NewStore(nil)
	require.Equal(t, Refused, s.Apply(Order{}).Outcome)
	for i := range MaxDomains {
		require.Equal(t, Applied, s.Apply(Order{FailureDomain: string(rune('A' + i)), Base: s.Set().Revision()}).Outcome)
	}
	require.Equal(t, Refused, s.Apply(Order{FailureDomain: "one more"}).Outcome)
	require.Equal(t, Applied, s.Apply(Order{FailureDomain: "A", Withdraw: true, Base: s.Set().Revision()}).Outcome)
}
