package control

import (
	"strconv"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

func (c *Core) submit(now time.Time, ev Submit) []Effect {
	if c.node == nil {
		return []Effect{Resolve{Token: ev.Token, Err: notVoter()}}
	}
	if err := c.checkMajority(now, ev); err != nil {
		return []Effect{Resolve{Token: ev.Token, Err: err}}
	}
	c.tracker.Add(ev.Token, ev.Deadline)
	return c.consensus(now, consensus.Propose{ID: strconv.FormatUint(ev.Token, 10), Data: ev.Data})
}

// CodeMinority is the code of a change that a leader rejects because it hears
// from too few hosts.
const CodeMinority verdict.Code = "minority_of_hosts"

// checkMajority rejects a configuration change while this host does not hear
// from a majority of the member hosts. The other hosts could be a majority that
// serves the old configuration for as long as the partition lasts. Changes that
// only forget hosts pass, because they are the way out when a majority of hosts
// is lost for good.
func (c *Core) checkMajority(now time.Time, ev Submit) error {
	if ev.Kind != proposals.KindChange || c.members.Evidence().HearsMajority(now) {
		return nil
	}
	cmd, err := c.opts.Codec.DecodeCommand(ev.Data)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "decode the change")
	}
	if forgetsOnly(cmd.Change) {
		return nil
	}
	return verdict.New(verdict.NotRun, CodeMinority, "the leader hears from less than a majority of the hosts; remove lost hosts with 'hawthornlock host forget' or restore the network")
}

func forgetsOnly(c *config.Change) bool {
	for _, op := range c.Ops {
		switch op.(type) {
		case config.ForgetHost, config.SetMembers:
		default:
			return false
		}
	}
	return true
}

func resolveAll(rs []proposals.Resolution) []Effect {
	out := make([]Effect, 0, len(rs))
	for _, r := range rs {
		out = append(out, Resolve{Token: r.Token, Result: r.Outcome.Result, Err: r.Outcome.Err})
	}
	return out
}
