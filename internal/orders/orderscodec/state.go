package orderscodec

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/orders"
)

// maxPartitions limits what a ledger allocates for a corrupt snapshot.
const maxPartitions = 1 << 16

// EncodeState returns the encoding of a snapshot.
func EncodeState(s orders.State) ([]byte, error) {
	m := &State{Index: s.Index, Limits: &Limits{
		Retention: int64(s.Limits.Retention), MaxSkew: int64(s.Limits.MaxSkew),
		MaxEntries: int64(s.Limits.MaxEntries), MaxBytes: int64(s.Limits.MaxBytes),
		MaxResult: int64(s.Limits.MaxResult), MaxEndedIds: int64(s.Limits.MaxEndedIDs),
	}}
	for _, p := range s.Partitions {
		m.Partitions = append(m.Partitions, partitionToProto(p))
	}
	return encode(m)
}

// DecodeState decodes the output of EncodeState.
func DecodeState(b []byte) (orders.State, error) {
	var m State
	if err := decode(b, &m); err != nil {
		return orders.State{}, err
	}
	if len(m.Partitions) == 0 || len(m.Partitions) > maxPartitions {
		return orders.State{}, errors.Wrapf(ErrMalformed, "%d partitions", len(m.Partitions))
	}
	l := m.GetLimits()
	s := orders.State{Index: m.Index, Limits: orders.Limits{
		Partitions: len(m.Partitions),
		Retention:  time.Duration(l.GetRetention()), MaxSkew: time.Duration(l.GetMaxSkew()),
		MaxEntries: int(l.GetMaxEntries()), MaxBytes: int(l.GetMaxBytes()),
		MaxResult: int(l.GetMaxResult()), MaxEndedIDs: int(l.GetMaxEndedIds()),
	}}
	for _, p := range m.Partitions {
		ps, err := partitionFromProto(p)
		if err != nil {
			return orders.State{}, err
		}
		s.Partitions = append(s.Partitions, ps)
	}
	return s, nil
}

func partitionToProto(p orders.PartitionState) *Partition {
	m := &Partition{Dead: p.Dead, Now: timeToProto(p.Now)}
	for _, c := range p.Clocks {
		m.Clocks = append(m.Clocks, &HostClock{Host: c.Host, At: timeToProto(c.At)})
	}
	for i := range p.Entries {
		m.Entries = append(m.Entries, entryToProto(p.Entries[i]))
	}
	return m
}

func partitionFromProto(m *Partition) (orders.PartitionState, error) {
	p := orders.PartitionState{Dead: m.Dead, Now: timeFromProto(m.Now)}
	if len(m.Clocks) != len(p.Clocks) {
		return p, errors.Wrapf(ErrMalformed, "%d clocks", len(m.Clocks))
	}
	for i, c := range m.Clocks {
		p.Clocks[i] = orders.HostClock{Host: c.Host, At: timeFromProto(c.At)}
	}
	p.Entries = make([]*orders.Entry, 0, len(m.Entries))
	for _, e := range m.Entries {
		entry, err := entryFromProto(e)
		if err != nil {
			return p, err
		}
		p.Entries = append(p.Entries, &entry)
	}
	return p, nil
}

func entryToProto(e *orders.Entry) *Entry {
	m := &Entry{
		Id: e.ID[:], Content: e.Content[:], Bound: e.ContentKnown, IssuedAtMs: e.IssuedAt,
		Status: uint32(e.Status), Token: tokenToProto(e.Token), Result: resultToProto(e.Result),
	}
	for _, t := range e.Ended {
		m.Ended = append(m.Ended, tokenToProto(t))
	}
	return m
}

func entryFromProto(m *Entry) (orders.Entry, error) {
	id, err := hashFromProto(m.Id)
	if err != nil {
		return orders.Entry{}, err
	}
	content, err := hashFromProto(m.Content)
	if err != nil {
		return orders.Entry{}, err
	}
	status := orders.Status(m.Status)
	if m.Status > uint32(orders.Finished) || (status == orders.Finished) != (m.Result != nil) {
		return orders.Entry{}, errors.Wrapf(ErrMalformed, "status %d", m.Status)
	}
	e := orders.Entry{
		ID: id, Content: content, ContentKnown: m.Bound, IssuedAt: m.IssuedAtMs,
		Status: status, Token: tokenFromProto(m.Token), Result: resultFromProto(m.Result),
	}
	for _, t := range m.Ended {
		e.Ended = append(e.Ended, tokenFromProto(t))
	}
	return e, nil
}
