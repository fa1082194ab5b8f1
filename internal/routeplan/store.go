package routeplan

// Result is the result of a submitted plan. A plan whose version is not higher
// than the one in force changes nothing and is still acknowledged, so that an
// operator may send a plan again after a lost reply.
type Result struct {
	Version uint64 // in force after the submission
	Applied bool   // the submission put its plan in force
}

// Store is the replicated state machine of the route plan.
//
// Invariant: the version in force never decreases, in whatever order plans
// arrive from the log, peers and snapshots.
type Store struct {
	document *Document
	table    *Table
}

// NewStore returns a store without a plan.
func NewStore() *Store { return &Store{} }

// Apply puts a plan in force if its version is higher than the current one.
func (s *Store) Apply(d *Document) Result {
	if d == nil || s.document != nil && d.Version <= s.document.Version {
		return Result{Version: s.Version()}
	}
	s.document = d
	s.table = NewTable(d.Plan)
	return Result{Version: d.Version, Applied: true}
}

// Version returns the version in force, or 0 without a plan.
func (s *Store) Version() uint64 {
	if s.document == nil {
		return 0
	}
	return s.document.Version
}

// Document returns the plan in force, or nil.
func (s *Store) Document() *Document { return s.document }

// Table returns the routes of the plan in force, or nil.
func (s *Store) Table() *Table { return s.table }
