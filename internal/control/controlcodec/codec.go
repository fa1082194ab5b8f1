// Package controlcodec encodes the entries and the snapshots of the replicated
// log. The first byte of each encoding is its version.
package controlcodec

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/config/configcodec"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/orders"
	"github.com/hawthornlock/hawthornlock/internal/orders/orderscodec"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/routeplan/plancodec"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal/withdrawalcodec"
)

// Version is the encoding version that this package writes and the newest that
// it reads.
const Version = 1

// commandHeaderLen is the length of version, kind and time in bytes.
const commandHeaderLen = 1 + 1 + 8

// Errors of decoding.
var (
	ErrMalformed    = errors.New("control: malformed encoding")
	ErrNewerVersion = errors.New("control: encoding has a newer version than this program reads")
)

// Codec implements control.Codec.
type Codec struct {
	Plans plancodec.Decoder // reads the text of route plans
}

// EncodePlan returns the log entry of a route plan.
func EncodePlan(at time.Time, d *routeplan.Document) []byte {
	return encodeCommand(proposals.KindPlan, at, d.Encoded)
}

// EncodeWithdrawal returns the log entry of an order to withdraw or restore a failure
// domain.
func EncodeWithdrawal(at time.Time, o withdrawal.Order) []byte {
	return encodeCommand(proposals.KindWithdrawal, at, withdrawalcodec.EncodeOrder(o))
}

// EncodeChange returns the log entry of a change.
func EncodeChange(at time.Time, c config.Change) ([]byte, error) {
	data, err := configcodec.EncodeChange(c)
	if err != nil {
		return nil, err
	}
	return encodeCommand(proposals.KindChange, at, data), nil
}

// EncodeOrder returns the log entry of a command for the ledger of orders.
func EncodeOrder(at time.Time, c orders.Command) ([]byte, error) {
	data, err := orderscodec.EncodeCommand(c)
	if err != nil {
		return nil, err
	}
	return encodeCommand(proposals.KindOrder, at, data), nil
}

func encodeCommand(kind proposals.Kind, at time.Time, data []byte) []byte {
	out := make([]byte, 0, commandHeaderLen+len(data))
	out = append(out, Version, byte(kind))
	out = binary.BigEndian.AppendUint64(out, uint64(at.UnixNano()))
	return append(out, data...)
}

// DecodeCommand reads a log entry.
func (codec Codec) DecodeCommand(b []byte) (control.Command, error) {
	if len(b) < commandHeaderLen {
		return control.Command{}, ErrMalformed
	}
	if b[0] > Version {
		return control.Command{}, ErrNewerVersion
	}
	cmd := control.Command{Kind: proposals.Kind(b[1]), At: time.Unix(0, int64(binary.BigEndian.Uint64(b[2:])))}
	data := b[commandHeaderLen:]
	switch cmd.Kind {
	case proposals.KindChange:
		c, err := configcodec.DecodeChange(data)
		if err != nil {
			return control.Command{}, err
		}
		cmd.Change = &c
	case proposals.KindOrder:
		c, err := orderscodec.DecodeCommand(data)
		if err != nil {
			return control.Command{}, err
		}
		cmd.Order = c
	case proposals.KindPlan:
		d, err := plancodec.Decode(data, codec.Plans)
		if err != nil {
			return control.Command{}, err
		}
		cmd.Plan = d
	case proposals.KindWithdrawal:
		o, err := withdrawalcodec.DecodeOrder(data)
		if err != nil {
			return control.Command{}, err
		}
		cmd.Withdrawal = o
	default:
		return control.Command{}, errors.Wrapf(ErrMalformed, "kind %d", b[1])
	}
	return cmd, nil
}

// EncodeState returns the snapshot of a state: a sequence of length-prefixed
// parts, one for each state machine.
func EncodeState(s control.ReplicatedState) ([]byte, error) {
	data, err := configcodec.EncodeState(s.Config)
	if err != nil {
		return nil, err
	}
	ledger, err := orderscodec.EncodeState(s.Orders)
	if err != nil {
		return nil, err
	}
	out := appendPart(appendPart([]byte{Version}, data), ledger)
	out = appendPart(out, encodeLists(s.EarlierLists))
	if s.Plan == nil && s.Withdrawals == nil {
		return out, nil
	}
	var plan []byte
	if s.Plan != nil {
		plan = s.Plan.Encoded
	}
	out = appendPart(out, plan)
	if s.Withdrawals != nil {
		out = appendPart(out, withdrawalcodec.EncodeSet(s.Withdrawals))
	}
	return out, nil
}

func appendPart(out, data []byte) []byte {
	out = binary.AppendUvarint(out, uint64(len(data)))
	return append(out, data...)
}

func cutPart(b []byte) (part, rest []byte, err error) {
	n, size := binary.Uvarint(b)
	if size <= 0 || n > uint64(len(b)-size) {
		return nil, nil, ErrMalformed
	}
	return b[size : size+int(n)], b[size+int(n):], nil
}

// DecodeState reads a snapshot.
func (codec Codec) DecodeState(b []byte) (control.ReplicatedState, error) {
	if len(b) == 0 {
		return control.ReplicatedState{}, ErrMalformed
	}
	if b[0] > Version {
		return control.ReplicatedState{}, ErrNewerVersion
	}
	cfgPart, rest, err := cutPart(b[1:])
	if err != nil {
		return control.ReplicatedState{}, err
	}
	ledgerPart, rest, err := cutPart(rest)
	if err != nil {
		return control.ReplicatedState{}, err
	}
	listsPart, rest, err := cutPart(rest)
	if err != nil {
		return control.ReplicatedState{}, err
	}
	plan, withdrawals, err := codec.decodeOptionalParts(rest)
	if err != nil {
		return control.ReplicatedState{}, err
	}
	cfg, err := configcodec.DecodeState(cfgPart)
	if err != nil {
		return control.ReplicatedState{}, err
	}
	ledger, err := orderscodec.DecodeState(ledgerPart)
	if err != nil {
		return control.ReplicatedState{}, err
	}
	lists, err := decodeLists(listsPart)
	return control.ReplicatedState{Config: cfg, Orders: ledger, EarlierLists: lists, Plan: plan, Withdrawals: withdrawals}, err
}

// decodeOptionalParts reads the last parts: the route plan, which may be empty, and the
// withdrawals. Without withdrawals the snapshot ends after the plan, and without a plan
// either, before it. Snapshots written before there were withdrawals have that form.
func (codec Codec) decodeOptionalParts(b []byte) (*routeplan.Document, *withdrawal.Set, error) {
	if len(b) == 0 {
		return nil, nil, nil
	}
	part, rest, err := cutPart(b)
	if err != nil {
		return nil, nil, err
	}
	var plan *routeplan.Document
	if len(part) > 0 {
		if plan, err = plancodec.Decode(part, codec.Plans); err != nil {
			return nil, nil, err
		}
	}
	if len(rest) == 0 {
		if plan == nil {
			return nil, nil, ErrMalformed
		}
		return plan, nil, nil
	}
	part, rest, err = cutPart(rest)
	if err != nil {
		return nil, nil, err
	}
	if len(part) == 0 || len(rest) != 0 {
		return nil, nil, ErrMalformed
	}
	withdrawals, err := withdrawalcodec.DecodeSet(part)
	return plan, withdrawals, err
}
