// Package orderscodec encodes the commands, replies and snapshots of the
// ledger of orders. The first byte of each encoding is its version.
package orderscodec

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hawthornlock/hawthornlock/internal/orders"
)

// Version is the version that this package writes and the newest it reads.
const Version = 1

// ErrNewerVersion is returned for an encoding of a version that this program
// does not know. Decoding it anyway could run an order twice.
var ErrNewerVersion = errors.New("orders: encoding has a newer version than this program reads")

// ErrMalformed is returned for bytes that are not a valid encoding.
var ErrMalformed = errors.New("orders: malformed encoding")

// EncodeCommand returns the encoding of a command.
func EncodeCommand(c orders.Command) ([]byte, error) {
	m := commandToProto(c)
	if m.Command == nil {
		return nil, errors.Newf("orders: command %T has no encoding", c)
	}
	return encode(m)
}

// DecodeCommand decodes the output of EncodeCommand.
func DecodeCommand(b []byte) (orders.Command, error) {
	var m Command
	if err := decode(b, &m); err != nil {
		return nil, err
	}
	return commandFromProto(&m)
}

// EncodeReply returns the encoding of a reply.
func EncodeReply(r orders.Reply) ([]byte, error) {
	return encode(&Reply{Outcome: uint32(r.Outcome), Token: tokenToProto(r.Token), Result: resultToProto(r.Result)})
}

// DecodeReply decodes the output of EncodeReply.
func DecodeReply(b []byte) (orders.Reply, error) {
	var m Reply
	if err := decode(b, &m); err != nil {
		return orders.Reply{}, err
	}
	o := orders.Outcome(m.Outcome)
	if m.Outcome > 255 || !o.Valid() || o == orders.Recorded && m.Result == nil {
		return orders.Reply{}, errors.Wrapf(ErrMalformed, "outcome %d", m.Outcome)
	}
	return orders.Reply{Outcome: o, Token: tokenFromProto(m.Token), Result: resultFromProto(m.Result)}, nil
}

func encode(m proto.Message) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend([]byte{Version}, m)
	return b, errors.Wrap(err, "orders: encode")
}

func decode(b []byte, m proto.Message) error {
	if len(b) == 0 || b[0] == 0 {
		return errors.Wrap(ErrMalformed, "no version")
	}
	if b[0] > Version {
		return errors.Wrapf(ErrNewerVersion, "version %d", b[0])
	}
	if err := proto.Unmarshal(b[1:], m); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

func timeToProto(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func timeFromProto(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns).UTC()
}

func hashFromProto(b []byte) (orders.Hash, error) {
	var h orders.Hash
	if len(b) != len(h) {
		return h, errors.Wrapf(ErrMalformed, "hash of %d bytes", len(b))
	}
	copy(h[:], b)
	return h, nil
}

func tokenToProto(t orders.Token) *Token {
	if t == (orders.Token{}) {
		return nil
	}
	return &Token{Host: t.Claimant.Host, Incarnation: t.Claimant.Incarnation, Fence: t.Fence}
}

func tokenFromProto(m *Token) orders.Token {
	return orders.Token{
		Claimant: orders.Claimant{Host: m.GetHost(), Incarnation: m.GetIncarnation()},
		Fence:    m.GetFence(),
	}
}

func resultToProto(r *orders.Result) *Result {
	if r == nil {
		return nil
	}
	return &Result{Status: int64(r.Status), Body: r.Body, Truncated: r.Truncated}
}

func resultFromProto(m *Result) *orders.Result {
	if m == nil {
		return nil
	}
	return &orders.Result{Status: int(m.Status), Body: m.Body, Truncated: m.Truncated}
}

func commandToProto(c orders.Command) *Command {
	switch c := c.(type) {
	case orders.Claim:
		return &Command{Command: &Command_Claim{&Claim{
			RequestId: c.RequestID, Content: c.Content[:], Token: tokenToProto(c.Token), At: timeToProto(c.At),
		}}}
	case orders.Record:
		return &Command{Command: &Command_Record{&Record{
			RequestId: c.RequestID, Token: tokenToProto(c.Token), Result: resultToProto(&c.Result), At: timeToProto(c.At),
		}}}
	case orders.Release:
		return &Command{Command: &Command_Release{&RequestToken{RequestId: c.RequestID, Token: tokenToProto(c.Token)}}}
	case orders.MarkMayHaveRun:
		return &Command{Command: &Command_MarkMayHaveRun{&RequestToken{RequestId: c.RequestID, Token: tokenToProto(c.Token)}}}
	case orders.ClaimantDied:
		return &Command{Command: &Command_ClaimantDied{&Token{Host: c.Claimant.Host, Incarnation: c.Claimant.Incarnation}}}
	default:
		return &Command{}
	}
}

func commandFromProto(m *Command) (orders.Command, error) {
	switch c := m.Command.(type) {
	case *Command_Claim:
		content, err := hashFromProto(c.Claim.GetContent())
		return orders.Claim{
			RequestID: c.Claim.GetRequestId(), Content: content,
			Token: tokenFromProto(c.Claim.GetToken()), At: timeFromProto(c.Claim.GetAt()),
		}, err
	case *Command_Record:
		if c.Record.GetResult() == nil {
			return nil, errors.Wrap(ErrMalformed, "record without a result")
		}
		return orders.Record{
			RequestID: c.Record.GetRequestId(), Token: tokenFromProto(c.Record.GetToken()),
			Result: *resultFromProto(c.Record.GetResult()), At: timeFromProto(c.Record.GetAt()),
		}, nil
	case *Command_Release:
		return orders.Release{RequestID: c.Release.GetRequestId(), Token: tokenFromProto(c.Release.GetToken())}, nil
	case *Command_MarkMayHaveRun:
		return orders.MarkMayHaveRun{RequestID: c.MarkMayHaveRun.GetRequestId(), Token: tokenFromProto(c.MarkMayHaveRun.GetToken())}, nil
	case *Command_ClaimantDied:
		return orders.ClaimantDied{Claimant: tokenFromProto(c.ClaimantDied).Claimant}, nil
	default:
		return nil, errors.Wrap(ErrMalformed, "command without a kind")
	}
}
