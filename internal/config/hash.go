package config

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"slices"
	"strconv"

	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// Hash is a truncated SHA-256 sum.
type Hash [16]byte

// hashID returns the hash under which the result of a change is kept.
func hashID(id string) Hash { return Hash(sha256Sum([]byte(id))[:16]) }

func sha256Sum(b []byte) []byte {
	sum := sha256.Sum256(b)
	return sum[:]
}

// ContentHash identifies what a change does: its team and operations. Author,
// note and base are left out, so that a resend by a colleague counts as one.
func (c Change) ContentHash() Hash {
	w := contentWriter{h: sha256.New()}
	w.text(c.Team)
	w.number(uint64(len(c.Ops)))
	for _, op := range c.Ops {
		w.op(op)
	}
	return Hash(w.h.Sum(nil)[:16])
}

// submission is a change with what is computed from it alone.
type submission struct {
	Change
	invalid error
	id      Hash
	content Hash
	base    Hash // of base and content
}

func newSubmission(c Change) submission {
	s := submission{Change: c, invalid: c.Validate()}
	if s.invalid == nil {
		s.id = hashID(c.ID)
		s.content = c.ContentHash()
		s.base = baseKey(c.Base, s.content)
	}
	return s
}

// DerivedID returns an ID that depends only on the base and the content, so
// that a command resent after a lost reply carries the same ID.
func (c Change) DerivedID() string {
	content := c.ContentHash()
	return "c" + strconv.FormatUint(c.Base, 10) + "-" + hex.EncodeToString(content[:])
}

// baseKey identifies a change by its base and content.
func baseKey(base uint64, content Hash) Hash {
	var b [24]byte
	binary.BigEndian.PutUint64(b[:8], base)
	copy(b[8:], content[:])
	return Hash(sha256Sum(b[:])[:16])
}

// contentWriter feeds length-prefixed values to a hash, so that different
// contents never feed the same bytes.
type contentWriter struct {
	h   hash.Hash
	buf [8]byte
}

func (w *contentWriter) number(v uint64) {
	binary.BigEndian.PutUint64(w.buf[:], v)
	w.h.Write(w.buf[:])
}

func (w *contentWriter) text(s string) {
	w.number(uint64(len(s)))
	w.h.Write([]byte(s))
}

func sortedKeys(l routing.Labels) []string {
	keys := make([]string, 0, len(l))
	for k := range l {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (w *contentWriter) texts(s ...string) {
	for _, v := range s {
		w.text(v)
	}
}

func (w *contentWriter) labels(l routing.Labels) {
	w.number(uint64(len(l)))
	for _, k := range sortedKeys(l) {
		w.texts(k, l[k])
	}
}

func (w *contentWriter) op(op Op) {
	switch op := op.(type) {
	case PutGroup:
		w.group(op.Group)
	case DeleteGroup:
		w.texts("delete group", op.Name)
	case PutSelector:
		s := op.Selector
		w.texts("put selector", s.Name, s.Owner, s.Team, s.Group)
		w.labels(s.Match)
	case DeleteSelector:
		w.texts("delete selector", op.Name)
	case ForgetHost:
		w.texts("forget host", op.Host)
	case SetMembers:
		w.text("set members")
		w.number(op.Epoch)
		w.number(uint64(len(op.Members)))
		w.texts(op.Members...)
	case AddLayout:
		w.texts("add layout", op.Group, op.IndexSnapshot)
		w.number(op.Generation)
		w.number(uint64(len(op.Layout)))
		w.texts(op.Layout...)
	case RemoveLayout:
		w.texts("remove layout", op.Group, op.IndexSnapshot)
	}
}

func (w *contentWriter) group(g routing.Group) {
	w.texts("put group", g.Name, g.Team)
	w.labels(g.Match)
	w.number(uint64(g.Priority))
	l := g.Limits
	for _, v := range []int{
		l.QueueLength, l.TeamConcurrency, l.CallerConcurrency,
		l.HedgePermille, l.MaxEjectedPercent, l.DefaultTimeoutMSec,
	} {
		w.number(uint64(v))
	}
}
