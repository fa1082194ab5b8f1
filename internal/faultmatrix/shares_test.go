package faultmatrix

import (
	"fmt"
	"testing"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/connections"
)

// Guards against confirmations of connection shares that are older than they
// say. While no leader confirms the list, a majority of hosts does. A host that
// is cut off from that majority just before a newer list must have closed its
// connections before the others take its share.
func TestHostCutOffBeforeANewListGivesUpItsShareInTime(t *testing.T) {
	for i := range 10 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, "list replaced", 5)
			w.busy = connections.DefaultDrainTimeout
			w.limit = 5 + i%5 // too few for a reserve, which would hide an excess
			w.serve()
			w.run(20 * time.Second)
			lost, stays := w.hosts[4], w.hosts[3]
			for _, a := range w.voters() {
				for _, b := range w.voters() {
					w.net.cut[[2]string{a.name, b.name}] = a != b
				}
			}
			w.run(5*time.Second + time.Duration(i)*50*time.Millisecond)
			heal(w, nil)
			w.until(10*time.Second, "another leader", func() bool { return w.leader() != nil })
			leader := w.leader()
			forget := w.push(leader, config.Change{
				ID: "forget", Author: "an", Team: config.AdminTeam, Base: leader.snapshot.Revision,
				Ops: []config.Op{config.ForgetHost{Host: lost.name}},
			})
			forget.contested = true // it makes no group to look for
			w.isolate(lost)
			w.until(60*time.Second, "the other hosts take the share", func() bool {
				return len(stays.snapshot.AgreedMembers.Hosts) == 4 && stays.snapshot.Shares.Phase() == connections.Complete
			})
			w.run(5 * time.Second)
		})
	}
}
