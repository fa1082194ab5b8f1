// Package accounts holds the client accounts of the route plan: which key belongs to
// which account, and for how long a host may trust that no key has been revoked.
package accounts

import (
	"crypto/sha256"
	"math"
	"strings"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Error codes of this package.
const (
	CodeInvalid     verdict.Code = "invalid_account"
	CodeUnknownKey  verdict.Code = "unknown_key"
	CodeRepeatedKey verdict.Code = "repeated_key"
	CodeUnconfirmed verdict.Code = "keys_unconfirmed"
)

// Key is the digest of an account's key. The key itself is kept nowhere but in the
// operator's text of the plan.
type Key [16]byte

// KeyOf returns the digest of a key: the first bytes of its SHA-256.
func KeyOf(credential string) Key {
	sum := sha256.Sum256([]byte(credential))
	return Key(sum[:len(Key{})])
}

// NoPriority is the priority of an account that leaves it to the route.
const NoPriority = -1

// Account is a client account. It is immutable.
type Account struct {
	Name     string
	Keys     []Key
	Priority int     // takes precedence over the route's; 0 is the most urgent
	Rate     float64 // requests per second over all hosts; 0 for no limit
	Burst    float64 // requests beyond Rate that may come at once
}

// PriorityOr returns the account's priority, or that of the route if the account has
// none. The account may be nil.
func (a *Account) PriorityOr(route int) int {
	if a == nil || a.Priority == NoPriority {
		return route
	}
	return a.Priority
}

// Limits of an account.
const (
	maxNameBytes = 128
	maxRate      = 1e9 // requests per second, and requests of a burst
)

// Validate returns an error for the first fault of a plan's accounts.
func Validate(list []Account) error {
	names := make(map[string]bool, len(list))
	owners := make(map[Key]string)
	empty := KeyOf("")
	for i := range list {
		a := &list[i]
		switch {
		case a.Name == "" || len(a.Name) > maxNameBytes:
			return invalid("account name %q is empty or longer than %d bytes", a.Name, maxNameBytes)
		case strings.ContainsFunc(a.Name, isControl):
			return invalid("account name %q holds a control character", a.Name)
		case names[a.Name]:
			return invalid("account %q is listed twice", a.Name)
		case !validAmount(a.Rate):
			return invalid("account %q has the rate %v, outside 0..%v", a.Name, a.Rate, float64(maxRate))
		case !validAmount(a.Burst):
			return invalid("account %q has the burst %v, outside 0..%v", a.Name, a.Burst, float64(maxRate))
		}
		names[a.Name] = true
		for _, k := range a.Keys {
			if k == empty {
				return invalid("account %q has an empty key", a.Name)
			}
			if other, ok := owners[k]; ok && other != a.Name {
				return invalid("accounts %q and %q share a key", other, a.Name)
			}
			owners[k] = a.Name
		}
	}
	return nil
}

// isControl reports whether a character can't be part of a header. Targets get the name in
// one.
func isControl(r rune) bool { return r < 0x20 || r == 0x7f }

func validAmount(n float64) bool { return n >= 0 && n <= maxRate && !math.IsNaN(n) }

func invalid(format string, args ...any) error {
	return verdict.New(verdict.NotRun, CodeInvalid, format, args...)
}

// Directory finds accounts. It is immutable. A nil directory is that of a plan without
// accounts, whose requests need no key.
type Directory struct {
	byKey  map[Key]*Account
	byName map[string]*Account
}

// NewDirectory returns the directory of a plan's accounts, or nil for a nil list. If two
// accounts share a key, which Validate rejects, the key belongs to the first one.
func NewDirectory(list []Account) *Directory {
	if list == nil {
		return nil
	}
	d := &Directory{byKey: make(map[Key]*Account), byName: make(map[string]*Account, len(list))}
	for i := range list {
		a := &list[i]
		if d.byName[a.Name] == nil {
			d.byName[a.Name] = a
		}
		for _, k := range a.Keys {
			if d.byKey[k] == nil {
				d.byKey[k] = a
			}
		}
	}
	return d
}

// Named returns the account of a name.
func (d *Directory) Named(name string) (*Account, bool) {
	if d == nil {
		return nil, false
	}
	a, ok := d.byName[name]
	return a, ok
}

// Len returns the number of accounts.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// Identify returns the account of a request to a route that is public or not, or why
// the request is refused. keys holds the digest of every key that the request carries.
// The account is nil if the request needs none. A request with several keys is refused
// on public routes, too, since it may be meant for another route of a later plan.
func (d *Directory) Identify(public bool, keys []Key) (*Account, *verdict.Error) {
	switch {
	case d == nil:
		return nil, nil
	case len(keys) > 1:
		return nil, verdict.New(verdict.NotRun, CodeRepeatedKey, "the request carries %d keys", len(keys))
	case public:
		return nil, nil
	case len(keys) == 0:
		return nil, verdict.New(verdict.NotRun, CodeUnknownKey, "the request carries no key")
	}
	a := d.byKey[keys[0]]
	if a == nil {
		return nil, verdict.New(verdict.NotRun, CodeUnknownKey, "the key belongs to no account of the plan")
	}
	return a, nil
}
