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

// Plays a leader that stands still while another one was elected, at a host that
// does not know of it. Guards against operators whose orders wait for the old
// leader at every host that they try, and against a command that is taken twice
// although it must not be.
func TestSearchLeavesALeaderThatDoesNotAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		patience time.Duration
		accepted bool
	}{"may be taken twice": {planPatience, true}, "must be taken once": {0, false}} {
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
					known:    func() string { return known },
					forget:   func(string) { known = "" },
					patience: c.patience,
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
			candidate: func(int) string { return "leader" },
			known:     func() string { return "leader" },
			forget:    func(string) {},
			patience:  planPatience,
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
