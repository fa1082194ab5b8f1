// Package followrpc is the twirp interface of feeds and followers.
package followrpc

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config/configcodec"
	"github.com/hawthornlock/hawthornlock/internal/follow"
	"github.com/hawthornlock/hawthornlock/internal/routeplan/plancodec"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal/withdrawalcodec"
)

// EncodePoll converts a poll to its message.
func EncodePoll(p follow.Poll) *Poll {
	return &Poll{From: p.From, Seq: p.Seq, Revision: p.Revision, Plan: p.Plan, Withdrawals: p.Withdrawals}
}

// DecodePoll converts a message to a poll.
func DecodePoll(m *Poll) follow.Poll {
	return follow.Poll{From: m.GetFrom(), Seq: m.GetSeq(), Revision: m.GetRevision(), Plan: m.GetPlan(), Withdrawals: m.GetWithdrawals()}
}

// EncodeUpdate converts an update to its message.
func EncodeUpdate(u follow.Update) (*Update, error) {
	m := &Update{
		From: u.From, Seq: u.Seq, Term: u.Term, Confirmed: u.Confirmed,
		ConfirmedRevision: u.ConfirmedRevision, ConfirmedPlan: u.ConfirmedPlan, ConfirmedWithdrawals: u.ConfirmedWithdrawals, Withdrawals: withdrawalcodec.EncodeSet(u.Withdrawals), ConfirmedAgeNs: int64(u.ConfirmedAge),
	}
	for _, a := range u.Changes {
		change, err := configcodec.EncodeChange(a.Change)
		if err != nil {
			return nil, err
		}
		m.Changes = append(m.Changes, &Accepted{Revision: a.Revision, AtUnixNs: a.At.UnixNano(), Change: change})
	}
	if u.State != nil {
		state, err := configcodec.EncodeState(*u.State)
		if err != nil {
			return nil, err
		}
		m.State = state
	}
	if u.Plan != nil {
		m.Plan = u.Plan.Encoded
	}
	return m, nil
}

// DecodeUpdate converts a message to an update. plans decodes the text of a route
// plan.
func DecodeUpdate(m *Update, plans plancodec.Decoder) (follow.Update, error) {
	u := follow.Update{
		From: m.GetFrom(), Seq: m.GetSeq(), Term: m.GetTerm(), Confirmed: m.GetConfirmed(),
		ConfirmedRevision: m.GetConfirmedRevision(), ConfirmedPlan: m.GetConfirmedPlan(), ConfirmedWithdrawals: m.GetConfirmedWithdrawals(), ConfirmedAge: max(0, time.Duration(m.GetConfirmedAgeNs())),
	}
	for _, a := range m.GetChanges() {
		change, err := configcodec.DecodeChange(a.GetChange())
		if err != nil {
			return follow.Update{}, err
		}
		u.Changes = append(u.Changes, follow.Accepted{Revision: a.GetRevision(), At: time.Unix(0, a.GetAtUnixNs()), Change: change})
	}
	if len(m.GetState()) > 0 {
		state, err := configcodec.DecodeState(m.GetState())
		if err != nil {
			return follow.Update{}, err
		}
		u.State = &state
	}
	if len(m.GetPlan()) > 0 {
		plan, err := plancodec.Decode(m.GetPlan(), plans)
		if err != nil {
			return follow.Update{}, err
		}
		u.Plan = plan
	}
	set, err := withdrawalcodec.DecodeSet(m.GetWithdrawals())
	u.Withdrawals = set
	return u, err
}
