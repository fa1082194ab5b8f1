package quotarpc

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/hawthornlock/hawthornlock/internal/quota"
)

// Guards against fields that are lost on the way between hosts.
func TestMessagesKeepTheirFields(t *testing.T) {
	r := quota.Request{Account: "a \xff", Plan: 7, Needed: 3, Extra: 2, Denied: 9, Reports: []quota.Report{{Lease: 1 << 60, Unused: 4}, {Lease: 2}}}
	data, err := proto.Marshal(EncodeRequest(r))
	require.NoError(t, err, "the name of an account may be any bytes")
	var m AcquireRequest
	require.NoError(t, proto.Unmarshal(data, &m))
	require.Equal(t, r, DecodeRequest(&m))
	for outcome := range toOutcome {
		reply := quota.Reply{Outcome: outcome, Tokens: 3, Lease: 1 << 60, RetryAfter: 1234 * time.Microsecond}
		require.Equal(t, reply, DecodeReply(EncodeReply(reply)))
	}
}

// Guards against a damaged or newer message that grants tokens or overflows a sum.
func TestStrangeMessagesAreBounded(t *testing.T) {
	const most = ^uint32(0)
	r := DecodeRequest(&AcquireRequest{Needed: most, Extra: most, Denied: most, Reports: make([]*Report, 1000)})
	require.Equal(t, maxTokens, r.Needed)
	require.Equal(t, maxTokens, r.Denied)
	require.Len(t, r.Reports, maxReports)
	reply := DecodeReply(&AcquireReply{Outcome: 77, Tokens: 5, RetryAfterUs: ^uint64(0)})
	require.Equal(t, quota.NoAuthority, reply.Outcome)
	require.Equal(t, maxRetryAfter, reply.RetryAfter)
	require.Equal(t, quota.Reply{}, DecodeReply(nil))
}
