package config

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strconv"

	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// Hash is a truncated SHA-256 sum.
type Hash [16]byte

func sumOf(b []byte) Hash {
	sum := sha256.Sum256(b)
	return Hash(sum[:16])
}

// hashID returns the hash by which the result of a change is looked up.
func hashID(id string) Hash { return sumOf([]byte(id)) }

// ContentHash identifies what a change does: its team and operations. Author,
// note and base are left out, so that a resend by another author is recognized.
func (c Change) ContentHash() Hash {
	var buf [512]byte
	b := appendStrings(buf[:0], c.Team)
	b = appendUint64(b, uint64(len(c.Ops)))
	for _, op := range c.Ops {
		b = appendOp(b, op)
	}
	return sumOf(b)
}

// submission is a change with its validation error and its hashes.
type submission struct {
	Change
	invalid error
	id      Hash
	content Hash
}

func newSubmission(c Change) submission {
	s := submission{Change: c, invalid: c.Validate()}
	if s.invalid == nil {
		s.id = hashID(c.ID)
		s.content = c.ContentHash()
	}
	return s
}

// DerivedID returns an ID that depends only on the base and the content, so
// that a command resent after a lost reply carries the same ID.
func (c Change) DerivedID() string {
	content := c.ContentHash()
	return "c" + strconv.FormatUint(c.Base, 10) + "-" + hex.EncodeToString(content[:])
}

// The append functions write length-prefixed values, so that different
// contents never have the same encoding.

func appendUint64(b []byte, v uint64) []byte { return binary.BigEndian.AppendUint64(b, v) }

func appendStrings(b []byte, values ...string) []byte {
	for _, s := range values {
		b = appendUint64(b, uint64(len(s)))
		b = append(b, s...)
	}
	return b
}

func appendLabels(b []byte, l routing.Labels) []byte {
	b = appendUint64(b, uint64(len(l)))
	for _, k := range sortedKeys(l) {
		b = appendStrings(b, k, l[k])
	}
	return b
}

func sortedKeys(l routing.Labels) []string {
	keys := make([]string, 0, len(l))
	for k := range l {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func appendOp(b []byte, op Op) []byte {
	switch op := op.(type) {
	case PutGroup:
		return appendGroup(b, op.Group)
	case DeleteGroup:
		return appendStrings(b, "delete group", op.Name)
	case PutSelector:
		s := op.Selector
		b = appendStrings(b, "put selector", s.Name, s.Owner, s.Team, s.Group)
		return appendLabels(b, s.Match)
	case DeleteSelector:
		return appendStrings(b, "delete selector", op.Name)
	case ForgetHost:
		return appendStrings(b, "forget host", op.Host)
	case SetMembers:
		b = appendStrings(b, "set members")
		b = appendUint64(b, op.Epoch)
		b = appendUint64(b, uint64(op.Base))
		b = appendUint64(b, uint64(len(op.Members)))
		return appendStrings(b, op.Members...)
	case AddLayout:
		b = appendStrings(b, "add layout", op.Group, op.IndexSnapshot)
		b = appendUint64(b, op.Generation)
		b = appendUint64(b, uint64(len(op.Layout)))
		return appendStrings(b, op.Layout...)
	case RemoveLayout:
		return appendStrings(b, "remove layout", op.Group, op.IndexSnapshot)
	}
	return b
}

func appendGroup(b []byte, g routing.Group) []byte {
	b = appendStrings(b, "put group", g.Name, g.Team)
	b = appendLabels(b, g.Match)
	b = appendUint64(b, uint64(g.Priority))
	l := g.Limits
	for _, v := range [...]int{
		l.QueueLength, l.TeamConcurrency, l.CallerConcurrency,
		l.HedgePermille, l.MaxEjectedPercent, l.DefaultTimeoutMSec,
	} {
		b = appendUint64(b, uint64(v))
	}
	return b
}
