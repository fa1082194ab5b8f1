// Package targetsrpc sends forwarded renewals between hosts with twirp, and
// encodes target records and layouts for dissemination.
package targetsrpc

import (
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// EncodeRenewals returns the wire form of a batch of renewals.
func EncodeRenewals(from string, renewals []targets.Renewal) *ForwardRequest {
	msg := &ForwardRequest{From: from, Renewals: make([]*Renewal, len(renewals))}
	for i, r := range renewals {
		msg.Renewals[i] = &Renewal{Target: r.Target, Incarnation: r.Incarnation, Seq: r.Seq, Content: r.ContentHash}
	}
	return msg
}

// DecodeRenewals returns the event of a wire message. It rejects a batch of more
// than targets.MaxRenewalsBatch renewals.
func DecodeRenewals(msg *ForwardRequest) (targets.RenewalsReceived, error) {
	if len(msg.GetRenewals()) > targets.MaxRenewalsBatch {
		return targets.RenewalsReceived{}, errors.Newf("batch of %d renewals is too large", len(msg.GetRenewals()))
	}
	ev := targets.RenewalsReceived{From: msg.GetFrom(), Renewals: make([]targets.Renewal, len(msg.GetRenewals()))}
	for i, r := range msg.GetRenewals() {
		ev.Renewals[i] = targets.Renewal{Target: r.GetTarget(), Incarnation: r.GetIncarnation(), Seq: r.GetSeq(), ContentHash: r.GetContent()}
	}
	return ev, nil
}

// EncodeRecord returns the wire form of a record.
func EncodeRecord(r *targets.Record) *Record {
	address, _ := r.Address.MarshalBinary() // never fails
	msg := &Record{
		Target:          r.Target,
		Incarnation:     r.Incarnation,
		Seq:             r.Seq,
		Status:          uint32(r.Status),
		Address:         address,
		FailureDomain:   r.FailureDomain,
		Labels:          r.Labels,
		ConnectionLimit: uint32(r.ConnectionLimit),
		Phase:           string(r.Phase),
		Healthy:         r.Reported.Healthy,
		Load:            r.Reported.Load,
		Leaving:         r.Leaving,
	}
	position := make(map[string]uint32, len(r.IndexSnapshots))
	for i, s := range r.IndexSnapshots {
		position[s.Name] = uint32(i)
		msg.IndexSnapshots = append(msg.IndexSnapshots, &IndexSnapshot{Name: s.Name, Generation: s.Generation, LayoutHash: r.LayoutHashes[i]})
	}
	for _, s := range r.Searchers {
		searcher := &Searcher{Name: s.Name, Slots: uint32(s.Slots)}
		for _, h := range s.Holds {
			searcher.Holds = append(searcher.Holds, &Holding{IndexSnapshot: position[h.IndexSnapshot], Shards: h.Shards})
		}
		msg.Searchers = append(msg.Searchers, searcher)
	}
	return msg
}

// DecodeRecord returns the validated record of a wire message.
func DecodeRecord(msg *Record) (*targets.Record, error) {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(msg.GetAddress()); err != nil {
		return nil, errors.Wrapf(err, "decode address of target %q", msg.GetTarget())
	}
	if msg.GetStatus() > uint32(targets.StatusExpired) {
		return nil, errors.Newf("target %q has unknown status %d", msg.GetTarget(), msg.GetStatus())
	}
	r := &targets.Record{
		Announcement: targets.Announcement{
			Target:          msg.GetTarget(),
			Incarnation:     msg.GetIncarnation(),
			Seq:             msg.GetSeq(),
			Address:         address,
			FailureDomain:   msg.GetFailureDomain(),
			Labels:          msg.GetLabels(),
			ConnectionLimit: int(msg.GetConnectionLimit()),
			Phase:           targets.Phase(msg.GetPhase()),
			Reported:        targets.Reported{Healthy: msg.GetHealthy(), Load: msg.GetLoad()},
		},
		Status:  targets.Status(msg.GetStatus()),
		Leaving: msg.GetLeaving(),
	}
	for _, s := range msg.GetIndexSnapshots() {
		r.IndexSnapshots = append(r.IndexSnapshots, targets.IndexSnapshot{Name: s.GetName(), Generation: s.GetGeneration()})
		r.LayoutHashes = append(r.LayoutHashes, s.GetLayoutHash())
	}
	for _, s := range msg.GetSearchers() {
		searcher, err := decodeSearcher(s, r.IndexSnapshots)
		if err != nil {
			return nil, err
		}
		r.Searchers = append(r.Searchers, searcher)
	}
	return r, r.Validate()
}

func decodeSearcher(msg *Searcher, snapshots []targets.IndexSnapshot) (targets.Searcher, error) {
	s := targets.Searcher{Name: msg.GetName(), Slots: int(msg.GetSlots())}
	for _, h := range msg.GetHolds() {
		if int(h.GetIndexSnapshot()) >= len(snapshots) {
			return s, errors.Newf("searcher %q holds an unknown index snapshot", s.Name)
		}
		s.Holds = append(s.Holds, targets.Holding{IndexSnapshot: snapshots[h.GetIndexSnapshot()].Name, Shards: h.GetShards()})
	}
	return s, nil
}

// EncodeLayout returns the wire form of a layout.
func EncodeLayout(l *targets.Layout) *Layout {
	return &Layout{IndexSnapshot: l.IndexSnapshot, Generation: l.Generation, Shards: l.Shards}
}

// DecodeLayout returns the validated layout of a wire message.
func DecodeLayout(msg *Layout) (*targets.Layout, error) {
	l := targets.NewLayout(msg.GetIndexSnapshot(), msg.GetGeneration(), msg.GetShards())
	return l, l.Validate()
}
