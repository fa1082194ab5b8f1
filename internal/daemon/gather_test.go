package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/forward/forwardrun"
	"github.com/hawthornlock/hawthornlock/internal/gathering/gatheringrpc"
	"github.com/hawthornlock/hawthornlock/internal/proposals/proposalsrpc"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Guards against a second arrival at every shard that no budget counts, after a gatherer
// that stops had already sent the request to searchers.
func TestRequestThatWasSentIsNotRepeatedAtAnotherGatherer(t *testing.T) {
	stopping := proposalsrpc.EncodeFailure(verdict.New(verdict.NotRun, verdict.CodeHostStops, "stops"), "")
	for attempts, another := range []bool{true, false} {
		answer, err := decodeGathered(&gatheringrpc.GatherReply{Failure: stopping, Attempts: uint32(attempts)}, "g", &forwardrun.Call{})
		require.Equal(t, verdict.NotRun, err.Verdict)
		require.Equal(t, another, answer == nil, "attempts: %d", attempts)
	}
}
