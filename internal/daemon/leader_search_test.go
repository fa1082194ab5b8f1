package daemon

import (
	"context"
	"fmt"
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

// Guards against an order that is reported as not run because its last copy was refused,
// while an earlier copy waits for room on the leader's disk and is committed later.
func TestRefusalOfACopyDoesNotCoverEarlierAttempts(t *testing.T) {
	for name, last := range map[string]error{
		"refused":     verdict.New(verdict.NotRun, consensus.CodeStorageFull, "the disk is full"),
		"no leader":   verdict.New(verdict.NotRun, consensus.CodeNotLeader, "not the leader"),
		"unreachable": verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no connection"),
	} {
		for _, unknownFirst := range []bool{true, false} {
			t.Run(fmt.Sprint(name, unknownFirst), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := leaderSearch{candidate: func(int) string { return "leader" }, known: func() string { return "" }, forget: func(string) {}, attemptTimeout: planAttemptTimeout}
					ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
					defer cancel()
					tries := 0
					_, err := s.run(ctx, func(ctx context.Context, _ string) ([]byte, error) {
						if tries++; tries == 1 && unknownFirst {
							<-ctx.Done()
							return nil, verdict.New(verdict.MayHaveRun, proposals.CodeUnknownOutcome, "no answer")
						}
						return nil, last
					})
					want := verdict.NotRun
					if unknownFirst {
						want = verdict.MayHaveRun
					}
					require.Equal(t, want, verdict.Of(err))
				})
			})
		}
	}
}

// Guards against a search that never tries one of the voters, which may be the
// only one that leads or knows the leader, and against one that leaves out voters
// while the known leader comes and goes.
func TestSearchTriesEveryVoter(t *testing.T) {
	for name, leader := range map[string]func(try int) string{
		"no known leader":      func(int) string { return "" },
		"dead leader":          func(int) string { return "c" },
		"leader every 2nd try": func(try int) string { return []string{"c", ""}[try%2] },
		"leader every 3rd try": func(try int) string { return []string{"c", "", ""}[try%3] },
	} {
		for _, voters := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d"}, {"a", "b", "c", "d", "e"}} {
			t.Run(fmt.Sprint(name, len(voters)), func(t *testing.T) {
				var c candidates
				seen := map[string]bool{}
				for try := range 2*len(voters) + 2 {
					seen[c.next(try, leader(try), voters)] = true
				}
				require.Len(t, seen, len(voters))
			})
		}
	}
	var c candidates
	require.Empty(t, c.next(1, "", nil))
	require.Equal(t, "c", c.next(1, "c", nil))
}
