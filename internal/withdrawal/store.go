package withdrawal

// Outcome tells what became of an order.
type Outcome uint8

// Outcomes of an order.
const (
	// Applied means that the failure domain now is as the order asked.
	Applied Outcome = iota + 1
	// Unchanged means that the failure domain was as the order asked, by an order after
	// its base. It gets a new revision nevertheless.
	Unchanged
	// Overtaken means that a later order for the failure domain contradicts the order,
	// which changed nothing.
	Overtaken
	// Refused means that the order can't be held. It changed nothing.
	Refused
)

// Result is the result of an order.
type Result struct {
	Revision uint64 // of the set after the order
	Outcome  Outcome
}

// Acknowledged reports whether the failure domain was as the order asked when the order
// was decided.
func (r Result) Acknowledged() bool { return r.Outcome == Applied || r.Outcome == Unchanged }

// Store is the replicated state machine of the withdrawals.
//
// Invariant: the revision never decreases, and the result of an order depends only on
// the order and the set before it.
type Store struct{ set *Set }

// NewStore returns a store that holds a set, which may be nil.
func NewStore(s *Set) *Store { return &Store{set: s} }

// Set returns the current set, nil before the first order.
func (s *Store) Set() *Set { return s.set }

// Apply decides an order.
//
// An order that finds its failure domain as it asks still gives it a new revision, also if
// it is based on an earlier set. Otherwise a contradicting order that was abandoned
// earlier, and is still on its way, would undo the acknowledged one.
func (s *Store) Apply(o Order) Result {
	if o.Validate() != nil {
		return Result{Revision: s.set.Revision(), Outcome: Refused}
	}
	d, known := s.set.Domain(o.FailureDomain)
	outcome := Applied
	switch {
	case !known && len(s.set.Domains()) >= MaxDomains:
		return Result{Revision: s.set.Revision(), Outcome: Refused}
	case d.Revision > o.Base && d.Withdrawn == o.Withdraw:
		outcome = Unchanged
	case d.Revision > o.Base:
		return Result{Revision: s.set.Revision(), Outcome: Overtaken}
	}
	s.set = s.set.with(o.FailureDomain, o.Withdraw)
	return Result{Revision: s.set.revision, Outcome: outcome}
}
