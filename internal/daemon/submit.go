package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

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
)

// submitRetryDelay is the wait before the leader is looked for again. An
// election takes one to two seconds, so a dozen tries cover it.
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

// submit hands an encoded command to the leader and returns the encoded
// result. With a patience, a host that has not answered by then is left for
// another one, so the command must have the same effect when it is taken twice.
func (d *Daemon) submit(ctx context.Context, kind proposals.Kind, data []byte, patience time.Duration) ([]byte, error) {
	return d.atLeader(ctx, patience, func(ctx context.Context, host string) ([]byte, error) {
		return d.submitTo(ctx, host, kind, data)
	})
}

// atLeader calls f for the host that should lead the log.
func (d *Daemon) atLeader(ctx context.Context, patience time.Duration, f func(ctx context.Context, host string) ([]byte, error)) ([]byte, error) {
	search := leaderSearch{candidate: d.leaderCandidate, known: d.knownLeader, forget: d.forgetLeader, patience: patience}
	return search.run(ctx, f)
}

// leaderSearch asks hosts in turn until one leads the log. It goes on only
// while a command has certainly had no effect, or may be taken twice.
type leaderSearch struct {
	candidate func(try int) string // host to ask
	known     func() string        // leader that some host named last
	forget    func(host string)
	patience  time.Duration // for one host; 0 for commands that must not be taken twice
}

func (s leaderSearch) run(ctx context.Context, f func(ctx context.Context, host string) ([]byte, error)) ([]byte, error) {
	followed := false
	for try := 0; ; try++ {
		host, began := s.candidate(try), time.Now()
		result, err := s.ask(ctx, host, f)
		unknown := err != nil && s.patience > 0 && ctx.Err() == nil && verdict.Of(err) == verdict.MayHaveRun
		if err == nil || !unknown && !retryElsewhere(err) {
			return result, err
		}
		if unknown {
			s.forget(host)
			if time.Since(began) >= s.patience {
				continue
			}
		}
		// A host that names another one is followed at once, but not twice in a
		// row, since two hosts may name each other.
		leader := s.known()
		if followed = !followed && leader != "" && leader != host; followed {
			continue
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(submitRetryDelay):
		}
	}
}

func (s leaderSearch) ask(ctx context.Context, host string, f func(ctx context.Context, host string) ([]byte, error)) ([]byte, error) {
	if s.patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.patience)
		defer cancel()
	}
	return f(ctx, host)
}

// retryElsewhere reports whether the command was certainly not taken and
// another host may take it.
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
// host named last.
func (d *Daemon) knownLeader() string {
	if leader := d.loop.Snapshot().Leader.Name; leader != "" {
		return leader
	}
	if hint := d.leaderHint.Load(); hint != nil {
		return *hint
	}
	return ""
}

// forgetLeader drops a leader that does not answer.
func (d *Daemon) forgetLeader(host string) {
	if hint := d.leaderHint.Load(); hint != nil && *hint == host {
		d.leaderHint.CompareAndSwap(hint, nil)
	}
}

// leaderCandidate returns the known leader first and then each voter in turn.
func (d *Daemon) leaderCandidate(try int) string {
	if leader := d.knownLeader(); leader != "" && try%2 == 0 {
		return leader
	}
	voters := d.voterHosts()
	if len(voters) == 0 {
		return d.settings.Host // which answers that it holds no log
	}
	return voters[(try/2+try)%len(voters)]
}

// voterHosts returns the hosts that may hold the replicated log: those of the
// settings or, where the settings name none, those found by membership.
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

// noteLeader keeps which host another one takes for the leader. Hosts without
// a log learn it in no other way.
func (d *Daemon) noteLeader(host string) {
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
		d.noteLeader(reply.GetFailure().GetLeaderHost())
		return nil, proposalsrpc.DecodeFailure(reply.GetFailure())
	}
	d.noteLeader(host)
	return reply.GetResult(), nil
}

// submitError gives a failed call its verdict. Only a connection that could
// not be set up proves that the command did not reach the host.
func submitError(err error, host string) error {
	var te twirp.Error
	if errors.As(err, &te) && peerlink.NotSent(err) {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "connect to host "+host)
	}
	return verdict.Wrap(err, verdict.MayHaveRun, proposals.CodeUnknownOutcome, "submit to host "+host)
}

func (d *Daemon) submitHere(ctx context.Context, kind proposals.Kind, data []byte) ([]byte, error) {
	result, err := d.loop.Call(ctx, func(token uint64) control.Event {
		return control.Submit{Token: token, Kind: kind, Data: data, Deadline: deadlineOf(ctx)}
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
	default:
		return nil, verdict.New(verdict.Ran, verdict.CodeInternal, "the log returned a %T", result)
	}
}
