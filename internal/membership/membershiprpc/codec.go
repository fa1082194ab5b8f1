// Package membershiprpc carries heartbeats between hosts with twirp.
package membershiprpc

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/membership"
)

// maxAge is the maximum of ages on the wire. It is above every retention time.
const maxAge = 24 * time.Hour

// Encode returns the wire form of a heartbeat.
func Encode(hb *membership.Heartbeat) *Heartbeat {
	msg := &Heartbeat{
		Host:        hb.Host,
		Incarnation: hb.Incarnation,
		Introduce:   hb.Introduce,
		Token:       hb.Token,
		Echo:        hb.Echo,
		Applied:     encodePosition(hb.Applied),
		MemberEpoch: hb.MemberEpoch,
		ShareEpoch:  hb.ShareEpoch,
		ShareDone:   hb.ShareDone,
		Ready:       hb.Ready,
		Digest:      hb.Digest,
		Silent:      hb.Silent,
	}
	if hb.Self != nil {
		msg.Self = EncodeMember(hb.Self)
	}
	if hb.Seen.Compare(hb.Applied) > 0 {
		msg.Seen = encodePosition(hb.Seen)
	}
	for _, h := range hb.Heard {
		msg.Heard = append(msg.Heard, &Hearing{Host: h.Host, AgeMs: encodeAge(h.Age)})
	}
	for i := range hb.Updates {
		msg.News = append(msg.News, EncodeMember(&hb.Updates[i]))
	}
	for i := range hb.Reports {
		msg.Reports = append(msg.Reports, encodeReport(&hb.Reports[i]))
	}
	return msg
}

// Decode returns the heartbeat of a wire message, without malformed records of
// other hosts. It fails on a malformed record of the sender and on lists over
// their maximum length.
func Decode(msg *Heartbeat) (membership.Heartbeat, error) {
	hb := membership.Heartbeat{
		Host:        msg.GetHost(),
		Incarnation: msg.GetIncarnation(),
		Introduce:   msg.GetIntroduce(),
		Token:       msg.GetToken(),
		Echo:        msg.GetEcho(),
		Applied:     decodePosition(msg.GetApplied()),
		Seen:        decodePosition(msg.GetApplied()),
		MemberEpoch: msg.GetMemberEpoch(),
		ShareEpoch:  msg.GetShareEpoch(),
		ShareDone:   msg.GetShareDone(),
		Ready:       msg.GetReady(),
		Digest:      msg.GetDigest(),
		Silent:      msg.GetSilent(),
	}
	if hb.Host == "" {
		return hb, errors.New("heartbeat without a host")
	}
	if len(msg.Silent) > membership.MaxSilent || len(msg.Heard) > membership.MaxSilent ||
		len(msg.News) > membership.MaxUpdates || len(msg.Reports) > membership.MaxReports {
		return hb, errors.Newf("heartbeat of host %q has a list over its maximum length", hb.Host)
	}
	if seen := decodePosition(msg.GetSeen()); seen.Compare(hb.Applied) > 0 {
		hb.Seen = seen
	}
	if msg.Self != nil {
		self, err := DecodeMember(msg.Self)
		if err != nil {
			return hb, err
		}
		hb.Self = &self
	}
	for _, h := range msg.Heard {
		hb.Heard = append(hb.Heard, membership.LastHeard{Host: h.GetHost(), Age: decodeAge(h.GetAgeMs())})
	}
	for _, m := range msg.News {
		update, err := DecodeMember(m)
		if err != nil {
			continue // a record of a third host says nothing about the sender, whose heartbeat counts
		}
		hb.Updates = append(hb.Updates, update)
	}
	for _, r := range msg.Reports {
		hb.Reports = append(hb.Reports, decodeReport(r))
	}
	return hb, nil
}

// EncodeMember returns the wire form of a member.
func EncodeMember(m *membership.Member) *Member {
	address, _ := m.PeerAddress.MarshalBinary() // never fails
	return &Member{
		Host:          m.Host,
		Incarnation:   m.Incarnation,
		PeerAddress:   address,
		Region:        m.Region,
		FailureDomain: m.FailureDomain,
		Roles:         uint32(m.Roles),
		State:         uint32(m.State),
		Capacity:      m.Capacity,
	}
}

// DecodeMember returns the member of a wire message, validated.
func DecodeMember(msg *Member) (membership.Member, error) {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(msg.GetPeerAddress()); err != nil {
		return membership.Member{}, errors.Wrapf(err, "peer address of host %q", msg.GetHost())
	}
	if msg.GetRoles() > 0xff || msg.GetState() > uint32(membership.Left) {
		return membership.Member{}, errors.Newf("host %q has unknown roles or state", msg.GetHost())
	}
	m := membership.Member{
		Host:          msg.GetHost(),
		Incarnation:   msg.GetIncarnation(),
		PeerAddress:   address,
		Region:        msg.GetRegion(),
		FailureDomain: msg.GetFailureDomain(),
		Roles:         membership.Roles(msg.GetRoles()),
		State:         membership.Liveness(msg.GetState()),
		Capacity:      msg.GetCapacity(),
	}
	return m, m.Validate()
}

func encodeReport(r *membership.RegionReport) *RegionReport {
	return &RegionReport{
		Region:      r.Region,
		Epoch:       r.Epoch,
		Heard:       r.Heard,
		Confirmed:   r.Confirmed,
		SawNewest:   r.SawNewest,
		SharesInUse: r.SharesInUse,
		Seen:        encodePosition(r.Seen),
		AgeMs:       encodeAge(r.Age),
	}
}

func decodeReport(r *RegionReport) membership.RegionReport {
	return membership.RegionReport{
		Region:      r.GetRegion(),
		Epoch:       r.GetEpoch(),
		Heard:       r.GetHeard(),
		Confirmed:   r.GetConfirmed(),
		SawNewest:   r.GetSawNewest(),
		SharesInUse: r.GetSharesInUse(),
		Seen:        decodePosition(r.GetSeen()),
		Age:         decodeAge(r.GetAgeMs()),
	}
}

func encodePosition(p membership.Position) *Position {
	if p.IsZero() {
		return nil
	}
	return &Position{Term: p.Term, Revision: p.Revision}
}

func decodePosition(p *Position) membership.Position {
	return membership.Position{Term: p.GetTerm(), Revision: p.GetRevision()}
}

// encodeAge rounds up, so that evidence never looks newer than it is.
func encodeAge(age time.Duration) uint32 {
	return uint32((min(max(age, 0), maxAge) + time.Millisecond - 1) / time.Millisecond)
}

func decodeAge(ms uint32) time.Duration {
	return min(time.Duration(ms)*time.Millisecond, maxAge)
}
