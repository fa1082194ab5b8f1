// Package withdrawal holds the replicated set of withdrawn failure domains. Nothing is
// sent to the targets of a withdrawn failure domain until it is restored.
package withdrawal

import (
	"cmp"
	"slices"
	"unicode/utf8"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Error codes of this package.
const (
	// CodeUnknownDomain is the code of an order for a failure domain that the settings
	// don't list.
	CodeUnknownDomain verdict.Code = "unknown_failure_domain"
	// CodeConflict is the code of an order that was overtaken by another order for the
	// same failure domain, which is in force.
	CodeConflict verdict.Code = "withdrawal_conflict"
)

// MaxNameBytes bounds the name of a failure domain.
const MaxNameBytes = 128

// MaxDomains bounds the failure domains of which a set keeps a record.
const MaxDomains = 1024

// Order asks for a failure domain to be withdrawn or restored.
type Order struct {
	FailureDomain string
	Withdraw      bool // false to restore it
	// Base is the revision of the set that the host that took the order knew. A copy of
	// the order that arrives after a later order for the same failure domain was applied
	// has no effect.
	Base uint64
}

// Validate returns an error for an order that no set can hold.
func (o Order) Validate() error {
	if !validName(o.FailureDomain) {
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "failure domain %q is empty, longer than %d bytes or not UTF-8", o.FailureDomain, MaxNameBytes)
	}
	return nil
}

func validName(s string) bool { return s != "" && len(s) <= MaxNameBytes && utf8.ValidString(s) }

// Domain is the record of one failure domain for which there was an order.
type Domain struct {
	Name      string
	Withdrawn bool
	Revision  uint64 // of the latest order for it
	// Changed is the revision of the latest order that changed Withdrawn, 0 if there was
	// none. An order that is sent again does not move it.
	Changed uint64
}

// Set is the record of all failure domains for which there was an order, at a revision.
// It is immutable. A nil *Set is the set before the first order.
type Set struct {
	revision uint64
	domains  []Domain // sorted by name
}

// NewSet returns the set with the given records, or an error if they can't belong to one
// set.
func NewSet(revision uint64, domains []Domain) (*Set, error) {
	s := &Set{revision: revision, domains: slices.Clone(domains)}
	slices.SortFunc(s.domains, func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
	for i, d := range s.domains {
		if !validName(d.Name) || d.Revision == 0 || d.Revision > revision || d.Changed > d.Revision || i > 0 && s.domains[i-1].Name == d.Name {
			return nil, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "the record of failure domain %q is malformed", d.Name)
		}
	}
	if len(s.domains) > MaxDomains {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "%d failure domains, at most %d are allowed", len(s.domains), MaxDomains)
	}
	return s, nil
}

// Revision returns the number of orders that were acknowledged, 0 before the first.
func (s *Set) Revision() uint64 {
	if s == nil {
		return 0
	}
	return s.revision
}

// Domains returns the records, sorted by name. The caller must not modify the result.
func (s *Set) Domains() []Domain {
	if s == nil {
		return nil
	}
	return s.domains
}

// Withdrawn reports whether nothing may be sent to the targets of a failure domain.
func (s *Set) Withdrawn(domain string) bool {
	d, ok := s.Domain(domain)
	return ok && d.Withdrawn
}

// Domain returns the record of a failure domain. It is not ok if there was no order for
// it.
func (s *Set) Domain(name string) (Domain, bool) {
	if s == nil {
		return Domain{}, false
	}
	i, ok := s.find(name)
	if !ok {
		return Domain{}, false
	}
	return s.domains[i], true
}

// Names returns the names of the withdrawn failure domains, sorted.
func (s *Set) Names() []string {
	var out []string
	for _, d := range s.Domains() {
		if d.Withdrawn {
			out = append(out, d.Name)
		}
	}
	return out
}

// RestoredSince returns the failure domains that were restored after an earlier set, and are
// still in use, sorted.
func (s *Set) RestoredSince(earlier *Set) []string {
	var out []string
	for _, d := range s.Domains() {
		if !d.Withdrawn && d.Changed > earlier.Revision() {
			out = append(out, d.Name)
		}
	}
	return out
}

func (s *Set) find(name string) (int, bool) {
	return slices.BinarySearchFunc(s.domains, name, func(d Domain, name string) int { return cmp.Compare(d.Name, name) })
}

// with returns the set after an order for a failure domain.
func (s *Set) with(name string, withdrawn bool) *Set {
	out := &Set{revision: s.Revision() + 1, domains: slices.Clone(s.Domains())}
	i, ok := out.find(name)
	if !ok {
		out.domains = slices.Insert(out.domains, i, Domain{Name: name})
	}
	d := &out.domains[i]
	d.Revision = out.revision
	if d.Withdrawn != withdrawn {
		d.Withdrawn, d.Changed = withdrawn, out.revision
	}
	return out
}
