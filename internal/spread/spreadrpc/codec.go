// Package spreadrpc carries the exchanges of package spread between hosts
// with twirp.
package spreadrpc

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/membership/membershiprpc"
	"github.com/hawthornlock/hawthornlock/internal/spread"
	"github.com/hawthornlock/hawthornlock/internal/targets/targetsrpc"
)

// maxAge bounds ages on the wire. It exceeds every retention time.
const maxAge = 24 * time.Hour

// maxItems bounds the items of a message. Senders stay below it.
const maxItems = 4 * spread.MaxBatchItems

// EncodeRequest returns the wire form of a request.
func EncodeRequest(req *spread.Request) *ExchangeRequest {
	msg := &ExchangeRequest{From: req.From, Session: req.Session, Id: req.ID, Digest: encodeDigest(req.Digest)}
	for i := range req.Items {
		msg.Items = append(msg.Items, encodeItem(&req.Items[i]))
	}
	return msg
}

// DecodeRequest returns the request of a wire message. It leaves malformed items
// out and counts them: the sender repeats a failed request with all its items, so
// that one malformed item would keep the others away. It fails on lists beyond
// their bounds.
func DecodeRequest(msg *ExchangeRequest) (spread.Request, error) {
	req := spread.Request{From: msg.GetFrom(), Session: msg.GetSession(), ID: msg.GetId()}
	if len(msg.GetItems()) > maxItems {
		return req, errors.Newf("too many items in a request: %d", len(msg.GetItems()))
	}
	var err error
	if req.Digest, err = decodeDigest(msg.GetDigest()); err != nil {
		return req, err
	}
	for _, m := range msg.GetItems() {
		item, err := decodeItem(m)
		if err == nil {
			req.Items = append(req.Items, item)
			continue
		}
		if req.Malformed == 0 {
			req.MalformedReason = err.Error()
		}
		req.Malformed++
	}
	return req, nil
}

// EncodeResponse returns the wire form of a response.
func EncodeResponse(resp *spread.Response) *ExchangeResponse {
	msg := &ExchangeResponse{From: resp.From, Session: resp.Session, Id: resp.ID, Digest: encodeDigest(resp.Digest)}
	for _, k := range resp.Wanted {
		msg.Wanted = append(msg.Wanted, encodeKey(k))
	}
	return msg
}

// DecodeResponse returns the response of a wire message.
func DecodeResponse(msg *ExchangeResponse) (spread.Response, error) {
	resp := spread.Response{From: msg.GetFrom(), Session: msg.GetSession(), ID: msg.GetId()}
	if len(msg.GetWanted()) > maxItems {
		return resp, errors.Newf("too many keys in a response: %d", len(msg.GetWanted()))
	}
	var err error
	if resp.Digest, err = decodeDigest(msg.GetDigest()); err != nil {
		return resp, err
	}
	for _, k := range msg.GetWanted() {
		resp.Wanted = append(resp.Wanted, decodeKey(k))
	}
	return resp, nil
}

func encodeKey(k spread.Key) *Key { return &Key{Kind: uint32(k.Kind), Name: k.Name} }

func decodeKey(k *Key) spread.Key {
	return spread.Key{Kind: spread.Kind(min(k.GetKind(), 0xff)), Name: k.GetName()}
}

func encodeItem(item *spread.Item) *Item {
	msg := &Item{
		Key:         encodeKey(item.Key),
		Incarnation: item.Version.Incarnation,
		Seq:         item.Version.Seq,
		Rank:        uint32(item.Version.Rank),
		Tie:         item.Version.Tie,
		AgeMs:       uint64(max(item.Age, 0) / time.Millisecond),
	}
	switch {
	case item.Member != nil:
		msg.Value = &Item_Member{Member: membershiprpc.EncodeMember(item.Member)}
	case item.Target != nil:
		msg.Value = &Item_Target{Target: targetsrpc.EncodeRecord(item.Target)}
	case item.Layout != nil:
		msg.Value = &Item_Layout{Layout: targetsrpc.EncodeLayout(item.Layout)}
	}
	return msg
}

func decodeItem(msg *Item) (spread.Item, error) {
	item := spread.Item{
		Key: decodeKey(msg.GetKey()),
		Version: spread.Version{
			Incarnation: msg.GetIncarnation(),
			Seq:         msg.GetSeq(),
			Rank:        uint8(min(msg.GetRank(), 0xff)),
			Tie:         msg.GetTie(),
		},
		Age: time.Duration(min(msg.GetAgeMs(), uint64(maxAge/time.Millisecond))) * time.Millisecond,
	}
	name := item.Key.Name
	switch v := msg.GetValue().(type) {
	case *Item_Member:
		m, err := membershiprpc.DecodeMember(v.Member)
		if err != nil {
			return item, err
		}
		item.Member, name = &m, m.Host
	case *Item_Target:
		r, err := targetsrpc.DecodeRecord(v.Target)
		if err != nil {
			return item, err
		}
		item.Target, name = r, r.Target
	case *Item_Layout:
		l, err := targetsrpc.DecodeLayout(v.Layout)
		if err != nil {
			return item, err
		}
		item.Layout, name = l, l.IndexSnapshot
	}
	if name != item.Key.Name || item.Key.Kind != kindOf(&item) {
		return item, errors.Newf("the kind or name of item %q does not match its value", item.Key.Name)
	}
	return item, nil
}

// kindOf returns the kind of an item's value, or for an offer the kind of its
// key.
func kindOf(item *spread.Item) spread.Kind {
	switch {
	case item.Member != nil:
		return spread.KindMember
	case item.Target != nil:
		return spread.KindTarget
	case item.Layout != nil:
		return spread.KindLayout
	default:
		return item.Key.Kind
	}
}

func encodeDigest(d *spread.Digest) []uint64 {
	if d == nil {
		return nil
	}
	return d[:]
}

func decodeDigest(buckets []uint64) (*spread.Digest, error) {
	if len(buckets) == 0 {
		return nil, nil
	}
	if len(buckets) != spread.Buckets {
		return nil, errors.Newf("wrong number of buckets in a digest: %d", len(buckets))
	}
	d := spread.Digest(buckets)
	return &d, nil
}
