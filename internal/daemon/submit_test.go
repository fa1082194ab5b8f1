package daemon

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/peerlink"
	"github.com/hawthornlock/hawthornlock/internal/proposals/proposalsrpc"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Guards against "not run" for a command that may have reached the leader, and
// against "may have run" for one that certainly did not.
func TestForwardedCommandHasATrueVerdict(t *testing.T) {
	entered := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		panic(http.ErrAbortHandler)
	}))
	address := server.Listener.Addr().(*net.TCPAddr).AddrPort()
	client := proposalsrpc.NewProposalsProtobufClient(peerlink.BaseURL(address), &http.Client{})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := client.Submit(ctx, &proposalsrpc.SubmitRequest{})
	<-entered
	require.Equal(t, verdict.MayHaveRun, verdict.Of(submitError(err, "b")))

	server.Close()
	_, err = client.Submit(ctx, &proposalsrpc.SubmitRequest{})
	require.Equal(t, verdict.NotRun, verdict.Of(submitError(err, "b")), "%v", err)

	cancelled, cancelNow := context.WithCancel(t.Context())
	cancelNow()
	_, err = client.Submit(cancelled, &proposalsrpc.SubmitRequest{})
	require.Equal(t, verdict.MayHaveRun, verdict.Of(submitError(err, "b")))

	refusal := proposalsrpc.EncodeFailure(verdict.New(verdict.NotRun, "not_leader", "not the leader"), "c")
	require.Equal(t, "c", refusal.GetLeaderHost())
	require.Equal(t, verdict.NotRun, verdict.Of(proposalsrpc.DecodeFailure(refusal)))
	require.Equal(t, verdict.Code("not_leader"), verdict.CodeOf(proposalsrpc.DecodeFailure(refusal)))
}
