// Package consensus implements a replicated log based on Raft (Ongaro and
// Ousterhout, 2014) as a pure step function. A Node takes typed events with
// the current time and returns typed effects; it does no I/O and reads no
// clock.
//
// # Durability
//
// Changes to the hard state, the log and the snapshot leave the node as
// Persist effects with increasing sequence numbers. The process that runs the
// node makes them durable in that order and reports each with Persisted. The
// node delays every message that depends on an unsynced change (votes, vote
// requests and acknowledgements of entries) until the matching Persisted event,
// so effects may be executed concurrently with the journal. A leader sends
// entries to followers before its own sync completes, but counts itself towards
// the commit quorum only after that sync. A proposal is acknowledged by Apply of
// its entry, never by ProposalAppended.
//
// A Persist that the journal refused, for lack of space or because its queue
// was full, is reported with PersistFailed. The node then refuses proposals,
// votes and entries, keeps the unsynced changes, and emits them again with the
// same sequence numbers on later ticks. There is no event for a failed sync:
// the process must exit.
//
// # Leases
//
// For one election timeout after it starts or hears from a leader, a node
// grants no vote, except in a leadership transfer. A heartbeat round
// acknowledged by a majority therefore rules out another leader until one
// election timeout after the round was sent. The leader's lease ends
// MaxClockDrift earlier, and the leader steps down when it ends. A leader that
// has sent TimeoutNow holds no lease for the rest of its term, because the message
// may take effect at any later time.
//
// A lease is as good as the clock that measures it. It makes a cut-off leader step
// down and dates the confirmations that hosts serve by for a while. What must hold
// without a bound in time rests on no clock: a read is confirmed by a heartbeat
// round that a majority acknowledges after the read has arrived.
//
// # Identities and bootstrap
//
// Each data directory has a random identity, and the voter set lists
// identities. A wiped disk gets a new identity, so it is in no voter set and
// neither votes nor campaigns. A node campaigns only if its own voter set lists
// it, and vote requests are addressed to the identities in the candidate's
// voter set. A learner may therefore vote for a candidate whose log already
// contains the learner's promotion.
//
// The founder of a cluster is the initial voter whose name sorts first, and its
// identity names the cluster. The founder writes the initial voter set only
// when it is empty itself and every other initial voter has replied to its
// current identity that it is empty too. It writes the set as a snapshot at
// index 1 of term 1, in which no leader exists. Elections begin in term 2. A
// member that is still empty gets the snapshot of any other member when it asks
// to join and no leader is known; this is safe because snapshots hold committed
// state only.
//
// At most one cluster can reach a majority, for these reasons. An empty node
// joins one cluster and ignores all messages of any other. If a founder loses
// its disk after the cluster committed anything, a majority of the initial
// voters holds that cluster durably, so at least one of the others replies that
// it is not empty, and the wiped founder never bootstraps. If the founder loses
// its disk earlier, a second cluster may start, but each surviving identity
// belongs to only one of the two, and the first cluster lacks its founder: they
// cannot both reach a majority. If all disks are lost, the data is lost, and a
// new cluster starts; a single initial voter is the smallest case of this.
//
// If the settings name no voters, MembersFound supplies them from the
// membership at the first start of the whole system. Two hosts may then briefly
// have different lists. A founder needs the same list from every initial voter,
// within one election timeout. That Initial is empty on a host that may be cut off from
// the others is up to the caller. A node that was founded in vain, because its initial
// voters belong to another cluster, joins that one.
//
// A member that hears from no leader for several seconds may have been removed
// while it was down. It asks to join again with its identity and log, and
// becomes a learner. It keeps its term and vote, so it does not vote twice in a
// term.
//
// A node with an empty data directory that finds an existing cluster joins it
// as a learner, even if its name is that of a voter. A learner becomes a voter
// only by ChangeVoters.
package consensus
