package daemon

import (
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/settings"
)

// openLog returns the node of a host that holds the replicated log.
func (d *Daemon) openLog() (*consensus.Node, error) {
	if !d.settings.HasRole(settings.Voter) {
		return nil, nil
	}
	if len(d.settings.Voters) > 1 {
		return nil, errors.New("the replicated log has no transport between voters yet: name one voter")
	}
	var initial []consensus.Member
	self := consensus.Member{Identity: consensus.Identity(d.settings.Host), Name: d.settings.Host, Address: d.Address("peer").String()}
	for _, v := range d.settings.Voters {
		initial = append(initial, consensus.Member{Name: v.Host, Address: v.Peer.String()})
	}
	return consensus.New(consensus.Options{
		Self: self, Initial: initial, Rand: rand.New(rand.NewPCG(d.settings.Seed, 2)),
	}, consensus.DurableState{})
}

// persist reports a change as durable although it is kept in memory only; the
// journal takes its place.
func (d *Daemon) persist(e control.Persist) {
	go func() {
		_ = d.loop.Post(d.ctx, control.ConsensusEvent{Event: consensus.Persisted{Seq: e.Change.Seq}})
	}()
}
