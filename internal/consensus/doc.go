// Package consensus is a replicated log of the Raft family (Ongaro and
// Ousterhout, 2014) as a pure step function. A Node takes typed events with
// the current time and returns typed effects; it does no I/O and reads no
// clock.
//
// # Durability
//
// Changes to the hard state, the log and the snapshot leave the node as
// Persist effects with rising sequence numbers. The caller makes them durable
// in that order and reports each with Persisted. The node itself holds back
// every message that depends on an unsynced change (votes, vote requests and
// acknowledgements of entries) until the matching Persisted event, so effects
// may be executed concurrently with the journal. A leader sends entries to
// followers while its own sync runs, and counts itself for the commit only
// after that sync. A proposal is acknowledged by Apply of its entry, never by
// ProposalAppended.
//
// A Persist that the journal refused, for lack of space or because its queue
// was full, is reported with PersistFailed. The node then refuses proposals,
// votes and entries, keeps the unsynced changes, and emits them again with the
// same sequence numbers on later ticks. A failed sync has no event: the
// process must end.
//
// # Leases
//
// A node that heard from a leader, and a node that just started, grants no
// vote for one election timeout, except in a leadership transfer. A heartbeat
// round acknowledged by a majority therefore keeps other leaders out until
// one election timeout after the round was sent. The leader's lease ends
// MaxClockDrift earlier, and the leader steps down when it ends. A leader
// that has sent TimeoutNow serves no lease reads for the rest of its term,
// because the message may take effect at any later time.
//
// # Identities and bootstrap
//
// Each data directory has a random identity, and the voter set names
// identities. A disk that was emptied has another identity, so it is in no
// voter set and neither votes nor campaigns. A node campaigns only if its own
// voter set names it, and requests for votes are addressed to the identities
// of the candidate's voter set. A learner may therefore vote for a candidate
// that already holds the learner's promotion.
//
// A cluster is named by the identity of its founder, the lowest of the
// initial voter names in the settings. The founder writes the initial voter
// set only when it is empty itself and every other initial voter has told it,
// in reply to its present identity, that it is empty too. It writes the set
// as a snapshot at index 1 of term 1, in which no leader exists. Elections
// begin in term 2. A member that is still empty gets the snapshot of any other
// member when it asks to join and no leader is known; this is safe since
// snapshots hold committed state only.
//
// This is safe for these reasons. An empty node adopts one cluster and
// ignores all messages of any other. If a founder loses its disk after the
// cluster committed anything, a majority of the initial voters holds that
// cluster durably, so at least one of the others answers that it is not
// empty, and the new founder never bootstraps. If the founder loses its disk
// earlier, a second cluster may start, but each surviving identity serves
// only one of the two, and the first cluster lacks its founder: both cannot
// reach a majority. If all disks are lost, the data is lost, and the cluster
// starts anew; a single initial voter is the smallest case of this.
//
// Where the settings name no voters, MembersFound brings them from the
// membership at the first start of the whole system. Two hosts may then have
// different lists for a moment; a founder needs the same list from every initial
// voter, so that only one list can found a cluster.
//
// A member that hears from no leader for long may have been removed while it
// was down. It asks to join again under its identity, with the log that it has,
// and becomes a learner; its term and vote are kept, so no promise is broken.
//
// An empty directory that finds an existing cluster joins it as a learner,
// also under the name of a voter. A learner becomes a voter only by
// ChangeVoters.
package consensus
