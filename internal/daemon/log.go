package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/consensus/consensusrpc"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/journal"
	"github.com/hawthornlock/hawthornlock/internal/settings"
)

// openLog opens the journal of a host that holds the replicated log and returns
// the consensus node restored from it.
func (d *Daemon) openLog() (*consensus.Node, error) {
	if !d.settings.HasRole(settings.Voter) {
		return nil, nil
	}
	j, recovered, err := journal.Open(journal.Options{Dir: d.settings.DataDir, Log: d.log, Completed: d.persisted, FirstStart: d.settings.FoundLog})
	if err != nil {
		return nil, err
	}
	d.journal = j
	d.mayFound = recovered.FirstStart
	return consensus.New(d.nodeOptions(recovered.Identity), recovered.State)
}

// planElectionTimeout is the least time without a leader before an election on
// hosts that serve a route plan: six heartbeats, and many times a round trip and
// a disk sync within a region.
const planElectionTimeout = 600 * time.Millisecond

// planTrailingEntries bounds the log entries kept in memory behind a snapshot.
// An entry may hold a whole route plan.
const planTrailingEntries = 64

func (d *Daemon) nodeOptions(id consensus.Identity) consensus.Options {
	o := consensus.Options{
		Self: consensus.Member{Identity: id, Name: d.settings.Host, Address: d.Address("peer").String()},
		Rand: rand.New(rand.NewPCG(d.settings.Seed, 2)),
		// The setting bounds the difference of two clock rates; the node takes
		// the resulting drift over one election timeout.
		MaxClockDrift: time.Duration(d.settings.MaxClockDrift * float64(consensus.DefaultElectionTimeout)),
	}
	if d.settings.ServePlan {
		// After a power loss on all hosts, callers wait for the election.
		o.ElectionTimeout = planElectionTimeout
		o.MaxClockDrift = time.Duration(d.settings.MaxClockDrift * float64(planElectionTimeout))
		o.TrailingEntries = planTrailingEntries
	}
	for _, v := range d.settings.Voters {
		address := v.Peer.String()
		if v.Host == d.settings.Host {
			address = o.Self.Address
		}
		o.Initial = append(o.Initial, consensus.Member{Name: v.Host, Address: address})
	}
	return o
}

// persist hands a change to the journal. It runs on the control goroutine and
// must not wait for room in that goroutine's own queue.
func (d *Daemon) persist(e control.Persist) {
	err := d.journal.Submit(e.Change)
	if err == nil {
		return
	}
	go d.persisted(journal.Completion{Seq: e.Change.Seq, Err: err})
}

// persisted reports the result of a journal write to the consensus node.
func (d *Daemon) persisted(c journal.Completion) {
	var fatal *journal.FatalError
	switch {
	case c.Err == nil:
		_ = d.loop.Post(d.ctx, control.ConsensusEvent{Event: consensus.Persisted{Seq: c.Seq}})
	case errors.As(c.Err, &fatal):
		d.fail(c.Err)
	default:
		_ = d.loop.Post(d.ctx, control.ConsensusEvent{Event: consensus.PersistFailed{Seq: c.Seq}})
	}
}

// closeLog syncs and closes the journal.
func (d *Daemon) closeLog() error {
	if d.journal == nil {
		return nil
	}
	return d.journal.Close()
}

func (d *Daemon) sendConsensus(s consensus.Send) {
	address, err := netip.ParseAddrPort(s.To.Address)
	if err != nil {
		return
	}
	d.links.Send(address, func(ctx context.Context, client *http.Client, _ string) {
		// A lost message is sent again by the protocol.
		_ = consensusrpc.NewClient(client, s.To.Address).Deliver(ctx, []consensus.Message{s.Message})
	})
}

type consensusService struct{ d *Daemon }

// Deliver hands messages to the replicated log. A full control queue drops
// them, and the protocol sends them again.
func (s *consensusService) Deliver(_ context.Context, messages []consensus.Message) {
	for _, m := range messages {
		s.d.loop.TryPost(control.ConsensusEvent{Event: consensus.MessageReceived{Message: m}})
	}
}
