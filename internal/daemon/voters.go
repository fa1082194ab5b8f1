package daemon

import (
	"context"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/bootclock"
	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/peerlink"
	"github.com/hawthornlock/hawthornlock/internal/proposals/proposalsrpc"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// ChangeVoters asks the leader for one change of the voter set.
func (d *Daemon) ChangeVoters(ctx context.Context, op consensus.VoterOp, id consensus.Identity) error {
	_, err := d.atLeader(ctx, 0, func(ctx context.Context, host string) ([]byte, error) {
		if host == d.settings.Host {
			return nil, d.changeVotersHere(ctx, op, id)
		}
		return nil, d.changeVotersAt(ctx, host, op, id)
	})
	return err
}

func (d *Daemon) changeVotersHere(ctx context.Context, op consensus.VoterOp, id consensus.Identity) error {
	_, err := d.loop.Call(ctx, func(token uint64) control.Event {
		return control.ChangeVoters{Token: token, Op: op, Identity: id, Deadline: bootclock.FromRuntime(deadlineOf(ctx))}
	})
	return err
}

func (d *Daemon) changeVotersAt(ctx context.Context, host string, op consensus.VoterOp, id consensus.Identity) error {
	address, ok := d.directory.lookup(host)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the address of host %q is unknown", host)
	}
	reply, err := proposalsrpc.NewProposalsProtobufClient(peerlink.BaseURL(address), d.links.Client()).ChangeVoters(ctx, &proposalsrpc.ChangeVotersRequest{
		Op: uint32(op), Identity: string(id), TimeoutMs: time.Until(deadlineOf(ctx)).Milliseconds(),
	})
	if err != nil {
		return submitError(err, host)
	}
	return failureOf(reply.GetFailure())
}

// deadlineOf returns the deadline of ctx, or systemSubmitTimeout from now if ctx
// has none.
func deadlineOf(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(systemSubmitTimeout)
}

// ChangeVoters changes the voter set if this host leads the log.
func (s *proposalsService) ChangeVoters(ctx context.Context, m *proposalsrpc.ChangeVotersRequest) (*proposalsrpc.SubmitReply, error) {
	ctx, cancel := readContext(ctx, m.GetTimeoutMs())
	defer cancel()
	if err := s.d.changeVotersHere(ctx, consensus.VoterOp(m.GetOp()), consensus.Identity(m.GetIdentity())); err != nil {
		return &proposalsrpc.SubmitReply{Failure: s.d.encodeFailure(err)}, nil
	}
	return &proposalsrpc.SubmitReply{}, nil
}
