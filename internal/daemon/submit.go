package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/hawthornlock/hawthornlock/internal/bootclock"
	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/config/configcodec"
	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/control/controlcodec"
	"github.com/hawthornlock/hawthornlock/internal/orders"
	"github.com/hawthornlock/hawthornlock/internal/orders/orderscodec"
	"github.com/hawthornlock/hawthornlock/internal/peerlink"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/proposals/proposalsrpc"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/routeplan/plancodec"
	"github.com/hawthornlock/hawthornlock/internal/settings"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal/withdrawalcodec"
)

// submitRetryDelay is the wait between attempts to find the leader. An election
// takes one to two seconds, so a dozen attempts cover it.
const submitRetryDelay = 200 * time.Millisecond

// Propose submits a change to the replicated log and returns its result. An
// error says whether the change may have been accepted.
func (d *Daemon) Propose(ctx context.Context, c config.Change) (config.Result, error) {
	if err := c.Validate(); err != nil {
		return config.Result{}, err
	}
	data, err := controlcodec.EncodeChange(time.Now(), c)
	if err != nil {
		return config.Result{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "encode the change")
	}
	result, err := d.submit(ctx, proposals.KindChange, data, 0)
	if err != nil {
		return config.Result{}, err
	}
	return configcodec.DecodeResult(result)
}

// submit sends an encoded command to the leader and returns the encoded result.
// If attemptTimeout is not 0, another host is tried when one does not answer in
// time, so the command must be idempotent.
func (d *Daemon) submit(ctx context.Context, kind proposals.Kind, data []byte, attemptTimeout time.Duration) ([]byte, error) {
	return d.atLeader(ctx, attemptTimeout, func(ctx context.Context, host string) ([]byte, error) {
		return d.submitTo(ctx, host, kind, data)
	})
}

// atLeader calls f for one host after another until one leads the log.
func (d *Daemon) atLeader(ctx context.Context, attemptTimeout time.Duration, f func(ctx context.Context, host string) ([]byte, error)) ([]byte, error) {
	search := leaderSearch{candidate: d.leaderCandidates(), known: d.knownLeader, forget: d.clearLeaderHint, attemptTimeout: attemptTimeout}
	return search.run(ctx, f)
}

// leaderSearch tries hosts in turn until one leads the log. It continues only if
// the command certainly had no effect or is idempotent.
type leaderSearch struct {
	candidate      func(try int) string // host to try
	known          func() string        // leader that some host reported last
	forget         func(host string)
	attemptTimeout time.Duration // for one host; 0 for commands that are not idempotent
}

func (s leaderSearch) run(ctx context.Context, f func(ctx context.Context, host string) ([]byte, error)) ([]byte, error) {
	followed, mayHaveRun := false, false
	for try := 0; ; try++ {
		host, began := s.candidate(try), time.Now()
		result, err := s.ask(ctx, host, f)
		unknown := err != nil && s.attemptTimeout > 0 && ctx.Err() == nil && verdict.Of(err) == verdict.MayHaveRun
		if err == nil || !unknown && !retryElsewhere(err) {
			return result, withEarlierAttempts(err, mayHaveRun)
		}
		if unknown {
			mayHaveRun = true
			s.forget(host)
			if time.Since(began) >= s.attemptTimeout {
				continue
			}
		}
		// A redirect to another host is followed at once, but not twice in a row,
		// since two hosts may name each other as the leader.
		leader := s.known()
		if followed = !followed && leader != "" && leader != host; followed {
			continue
		}
		select {
		case <-ctx.Done():
			return nil, withEarlierAttempts(err, mayHaveRun)
		case <-time.After(submitRetryDelay):
		}
	}
}

// withEarlierAttempts returns the error of the last attempt. Its promise that nothing ran
// does not cover an earlier attempt whose outcome is not known, for instance at a leader
// whose disk is full and that writes the entry once there is room.
func withEarlierAttempts(err error, mayHaveRun bool) error {
	if err == nil || !mayHaveRun || verdict.Of(err) != verdict.NotRun {
		return err
	}
	return verdict.Wrap(err, verdict.MayHaveRun, proposals.CodeUnknownOutcome, "an earlier attempt may have been accepted")
}

func (s leaderSearch) ask(ctx context.Context, host string, f func(ctx context.Context, host string) ([]byte, error)) ([]byte, error) {
	if s.attemptTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.attemptTimeout)
		defer cancel()
	}
	return f(ctx, host)
}

// retryElsewhere reports whether the command certainly had no effect and another
// host may accept it.
func retryElsewhere(err error) bool {
	if verdict.Of(err) != verdict.NotRun {
		return false
	}
	switch verdict.CodeOf(err) {
	case consensus.CodeNotLeader, proposals.CodeLostLeadership, verdict.CodeUnavailable, consensus.CodeTransferring:
		return true
	}
	return false
}

// knownLeader returns the leader that this host's own log knows or that another
// host reported last.
func (d *Daemon) knownLeader() string {
	if leader := d.loop.Snapshot().Leader.Name; leader != "" {
		return leader
	}
	if hint := d.leaderHint.Load(); hint != nil {
		return *hint
	}
	return ""
}

// clearLeaderHint clears the leader hint if it names host, which does not answer.
func (d *Daemon) clearLeaderHint(host string) {
	if hint := d.leaderHint.Load(); hint != nil && *hint == host {
		d.leaderHint.CompareAndSwap(hint, nil)
	}
}

// leaderCandidates returns the choice of the host to try for one search.
func (d *Daemon) leaderCandidates() func(try int) string {
	var c candidates
	return func(try int) string {
		if host := c.next(try, d.knownLeader(), d.voterHosts()); host != "" {
			return host
		}
		return d.settings.Host // which answers that it holds no log
	}
}

// candidates chooses the hosts that a search for the leader tries.
type candidates struct {
	tried int // voters tried so far
}

// next returns the known leader on even tries and otherwise the next voter, so
// that every voter is tried however often the known leader changes. It returns ""
// if no host is known.
func (c *candidates) next(try int, leader string, voters []string) string {
	if leader != "" && try%2 == 0 || len(voters) == 0 {
		return leader
	}
	c.tried++
	return voters[(c.tried-1)%len(voters)]
}

// voterHosts returns the hosts that may hold the replicated log: the voters in
// the settings or, if the settings name none, the live voters in the membership.
func (d *Daemon) voterHosts() []string {
	var out []string
	for _, v := range d.settings.Voters {
		out = append(out, v.Host)
	}
	if len(out) > 0 {
		return out
	}
	for _, h := range d.loop.Snapshot().Hosts {
		if h.Live && slices.Contains(h.Roles, string(settings.Voter)) {
			out = append(out, h.Host)
		}
	}
	return out
}

// setLeaderHint stores the leader that another host reported. Hosts without a log
// learn of the leader in no other way.
func (d *Daemon) setLeaderHint(host string) {
	if host != "" {
		d.leaderHint.Store(&host)
	}
}

func (d *Daemon) submitTo(ctx context.Context, host string, kind proposals.Kind, data []byte) ([]byte, error) {
	if host == d.settings.Host {
		return d.submitHere(ctx, kind, data)
	}
	address, ok := d.directory.lookup(host)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the address of host %q is unknown", host)
	}
	client := proposalsrpc.NewProposalsProtobufClient(peerlink.BaseURL(address), d.links.Client())
	reply, err := client.Submit(ctx, &proposalsrpc.SubmitRequest{Kind: uint32(kind), Data: data, TimeoutMs: time.Until(deadlineOf(ctx)).Milliseconds()})
	if err != nil {
		return nil, submitError(err, host)
	}
	if reply.GetFailure() != nil {
		d.setLeaderHint(reply.GetFailure().GetLeaderHost())
		return nil, proposalsrpc.DecodeFailure(reply.GetFailure())
	}
	d.setLeaderHint(host)
	return reply.GetResult(), nil
}

// submitError adds a verdict to the error of a failed call. Only a connection
// that could not be set up proves that the command did not reach the host.
func submitError(err error, host string) error {
	var te twirp.Error
	if errors.As(err, &te) && peerlink.NotSent(err) {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "connect to host "+host)
	}
	return verdict.Wrap(err, verdict.MayHaveRun, proposals.CodeUnknownOutcome, "submit to host "+host)
}

func (d *Daemon) submitHere(ctx context.Context, kind proposals.Kind, data []byte) ([]byte, error) {
	result, err := d.loop.Call(ctx, func(token uint64) control.Event {
		return control.Submit{Token: token, Kind: kind, Data: data, Deadline: bootclock.FromRuntime(deadlineOf(ctx))}
	})
	if err != nil {
		return nil, err
	}
	return encodeResult(result)
}

func encodeResult(result any) ([]byte, error) {
	switch r := result.(type) {
	case config.Result:
		return configcodec.EncodeResult(r)
	case orders.Reply:
		return orderscodec.EncodeReply(r)
	case routeplan.Result:
		return plancodec.EncodeResult(r), nil
	case withdrawal.Result:
		return withdrawalcodec.EncodeResult(r), nil
	default:
		return nil, verdict.New(verdict.Ran, verdict.CodeInternal, "the log returned a %T", result)
	}
}
