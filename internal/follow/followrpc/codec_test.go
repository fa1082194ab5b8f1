package followrpc

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/follow"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
)

// Guards against a poll or an update that loses the withdrawals between two hosts, and
// against an update with a malformed set that is applied in part.
func TestWithdrawalsRoundTrip(t *testing.T) {
	set, err := withdrawal.NewSet(4, []withdrawal.Domain{{Name: "a", Withdrawn: true, Revision: 4}, {Name: "b", Revision: 2}})
	require.NoError(t, err)
	p := follow.Poll{From: "h", Seq: 1, Revision: 2, Plan: 3, Withdrawals: 4}
	require.Equal(t, p, DecodePoll(EncodePoll(p)))
	u := follow.Update{From: "h", Seq: 1, Term: 2, Confirmed: true, ConfirmedWithdrawals: 4, Withdrawals: set}
	m, err := EncodeUpdate(u)
	require.NoError(t, err)
	decoded, err := DecodeUpdate(m, nil)
	require.NoError(t, err)
	require.Equal(t, u, decoded)
	m.Withdrawals = m.Withdrawals[:len(m.Withdrawals)-1]
	_, err = DecodeUpdate(m, nil)
	require.Error(t, err)
}
