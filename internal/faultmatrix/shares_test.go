package faultmatrix

import (
	"fmt"
	"testing"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/connections"
)

// Guards against confirmations of connection shares that are older than they
// claim. While no leader confirms the member list, a majority of hosts does. A
// host that is cut off from that majority just before a newer list is decided
// must close its connections before the other hosts take its share.
func TestHostCutOffBeforeANewListGivesUpItsShareInTime(t *testing.T) {
	for i := range 10 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, "list replaced", 5)
			sim.busy = connections.DefaultDrainTimeout
			sim.limit = 5 + i%5 // too few for a reserve, which would hide connections above the limit
			sim.serve()
			sim.run(20 * time.Second)
			lost, stays := sim.hosts[4], sim.hosts[3]
			for _, a := range sim.voters() {
				for _, b := range sim.voters() {
					sim.net.cut[[2]string{a.name, b.name}] = a != b
				}
			}
			sim.run(5*time.Second + time.Duration(i)*50*time.Millisecond)
			heal(sim, nil)
			sim.await(10*time.Second, "another leader is elected", func() bool { return sim.leader() != nil })
			leader := sim.leader()
			forget := sim.push(leader, config.Change{
				ID: "forget", Author: "an", Team: config.AdminTeam, Base: leader.snapshot.Revision,
				Ops: []config.Op{config.ForgetHost{Host: lost.name}},
			})
			forget.noGroup = true
			sim.isolate(lost)
			sim.await(60*time.Second, "the other hosts take the share", func() bool {
				return len(stays.snapshot.AgreedMembers.Hosts) == 4 && stays.snapshot.Shares.Phase() == connections.Complete
			})
			sim.run(5 * time.Second)
		})
	}
}
