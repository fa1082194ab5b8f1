package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Simulates a stalled leader at a host that does not know the newly elected one.
// Guards against a search that waits only for the old leader, and against one
// that submits a command twice although it is not idempotent.
func TestSearchLeavesALeaderThatDoesNotAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		attemptTimeout time.Duration
		accepted       bool
	}{"idempotent": {planAttemptTimeout, true}, "not idempotent": {0, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				known := "frozen"
				s := leaderSearch{
					candidate: func(try int) string {
						if try%2 == 0 && known != "" {
							return known
						}
						return "follower"
					},
					known:          func() string { return known },
					forget:         func(string) { known = "" },
					attemptTimeout: c.attemptTimeout,
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				result, err := s.run(ctx, func(ctx context.Context, host string) ([]byte, error) {
					switch host {
					case "frozen":
						<-ctx.Done()
						return nil, verdict.New(verdict.MayHaveRun, proposals.CodeUnknownOutcome, "no answer")
					case "follower":
						known = "leader"
						return nil, verdict.New(verdict.NotRun, consensus.CodeNotLeader, "not the leader")
					}
					return []byte("accepted"), nil
				})
				if !c.accepted {
					require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
					return
				}
				require.NoError(t, err)
				require.Equal(t, "accepted", string(result))
			})
		})
	}
}

// Guards against a search that spins while every host fails at once.
func TestSearchWaitsBetweenHostsThatFailAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := leaderSearch{
			candidate:      func(int) string { return "leader" },
			known:          func() string { return "leader" },
			forget:         func(string) {},
			attemptTimeout: planAttemptTimeout,
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		tries := 0
		_, err := s.run(ctx, func(context.Context, string) ([]byte, error) {
			tries++
			return nil, verdict.New(verdict.MayHaveRun, proposals.CodeUnknownOutcome, "the connection was reset")
		})
		require.Error(t, err)
		require.LessOrEqual(t, tries, int(time.Second/submitRetryDelay)+1)
	})
}
