// Package withdrawalcodec encodes withdrawals for the replicated log and for other
// hosts.
package withdrawalcodec

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
)

// ErrMalformed is returned for an encoding that can't be decoded.
var ErrMalformed = errors.New("withdrawals: malformed encoding")

// EncodeOrder encodes an order.
func EncodeOrder(o withdrawal.Order) []byte {
	out := binary.AppendUvarint(nil, o.Base)
	return append(append(out, flag(o.Withdraw)), o.FailureDomain...)
}

// DecodeOrder decodes an order.
func DecodeOrder(b []byte) (withdrawal.Order, error) {
	base, n := binary.Uvarint(b)
	if n <= 0 || len(b) <= n || b[n] > 1 {
		return withdrawal.Order{}, ErrMalformed
	}
	return withdrawal.Order{FailureDomain: string(b[n+1:]), Withdraw: b[n] == 1, Base: base}, nil
}

// EncodeResult encodes the result of an order.
func EncodeResult(r withdrawal.Result) []byte {
	return append(binary.AppendUvarint(nil, r.Revision), byte(r.Outcome))
}

// DecodeResult decodes the result of an order.
func DecodeResult(b []byte) (withdrawal.Result, error) {
	revision, n := binary.Uvarint(b)
	if n <= 0 || len(b) != n+1 {
		return withdrawal.Result{}, ErrMalformed
	}
	outcome := withdrawal.Outcome(b[n])
	if outcome < withdrawal.Applied || outcome > withdrawal.Refused {
		return withdrawal.Result{}, ErrMalformed
	}
	return withdrawal.Result{Revision: revision, Outcome: outcome}, nil
}

// EncodeSet encodes a set. The encoding of a set before the first order is empty.
func EncodeSet(s *withdrawal.Set) []byte {
	if s == nil {
		return nil
	}
	out := binary.AppendUvarint(nil, s.Revision())
	for _, d := range s.Domains() {
		out = binary.AppendUvarint(out, d.Revision)
		out = append(out, flag(d.Withdrawn))
		out = binary.AppendUvarint(out, d.Changed)
		out = binary.AppendUvarint(out, uint64(len(d.Name)))
		out = append(out, d.Name...)
	}
	return out
}

// DecodeSet decodes a set.
func DecodeSet(b []byte) (*withdrawal.Set, error) {
	if len(b) == 0 {
		return nil, nil
	}
	revision, n := binary.Uvarint(b)
	if n <= 0 {
		return nil, ErrMalformed
	}
	var domains []withdrawal.Domain
	for b = b[n:]; len(b) > 0; {
		var d withdrawal.Domain
		var err error
		if d, b, err = cutDomain(b); err != nil {
			return nil, err
		}
		domains = append(domains, d)
	}
	return withdrawal.NewSet(revision, domains)
}

func cutDomain(b []byte) (withdrawal.Domain, []byte, error) {
	revision, n := binary.Uvarint(b)
	if n <= 0 || len(b) <= n || b[n] > 1 {
		return withdrawal.Domain{}, nil, ErrMalformed
	}
	d := withdrawal.Domain{Revision: revision, Withdrawn: b[n] == 1}
	b = b[n+1:]
	if d.Changed, n = binary.Uvarint(b); n <= 0 {
		return withdrawal.Domain{}, nil, ErrMalformed
	}
	b = b[n:]
	size, n := binary.Uvarint(b)
	if n <= 0 || size > uint64(len(b)-n) {
		return withdrawal.Domain{}, nil, ErrMalformed
	}
	end := n + int(size)
	d.Name = string(b[n:end])
	return d, b[end:], nil
}

func flag(b bool) byte {
	if b {
		return 1
	}
	return 0
}
