package control

import "time"

// agreedConfirmation records since when the agreed list in force here is known to be the
// newest one.
type agreedConfirmation struct {
	epoch    uint64
	revision uint64 // of the configuration with which this list came into force here, at the latest
	at       time.Time
}

// membersApplied records that a list is in force. Its confirmations start anew.
func (c *Core) membersApplied(epoch uint64) {
	if epoch == c.agreed.epoch {
		return
	}
	c.agreed = agreedConfirmation{epoch: epoch, revision: c.store.Revision()}
	c.confirmMembers()
}

// confirmMembers records the latest confirmation that covers the agreed list in force. One
// of an earlier revision was issued when another list was the newest.
func (c *Core) confirmMembers() {
	if c.agreed.epoch != 0 && c.confirmed.Revision >= c.agreed.revision && c.confirmed.At.After(c.agreed.at) {
		c.agreed.at = c.confirmed.At
	}
}
