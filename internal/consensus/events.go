package consensus

import (
	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

// Events of this package, numbers 4000 to 4099.
var (
	EventRoleChanged = eventlog.Define(4000, zerolog.InfoLevel, "consensus role changed",
		"An election, a new leader, a leadership transfer or the end of a lease.",
		"None. Frequent changes point to a slow network or disk between voters.")
	EventLeaseExpired = eventlog.Define(4001, zerolog.WarnLevel, "leader stepped down because its lease expired",
		"The leader did not hear from a majority of the voters within its lease, or the process was paused.",
		"Check the network between the voters and the load of this host.")
	EventVotersChanged = eventlog.Define(4002, zerolog.InfoLevel, "voter set changed",
		"A voter or learner was added, promoted or removed, or an uncommitted change was reverted.",
		"None if the change was intended.")
	EventSnapshotRestored = eventlog.Define(4003, zerolog.InfoLevel, "state restored from a snapshot",
		"The node started, or lagged so far that the leader sent it a snapshot.",
		"None.")
	EventStorageFull = eventlog.Define(4004, zerolog.ErrorLevel, "consensus stopped writing: the journal refuses writes",
		"The data directory is full, or the disk is so slow that the journal's queue is full.",
		"Free space in the data directory, or check the disk. Writing resumes by itself.")
	EventStorageRecovered = eventlog.Define(4005, zerolog.InfoLevel, "consensus resumed writing",
		"The journal accepts writes again.",
		"None.")
	EventInitialVotersDiffer = eventlog.Define(4006, zerolog.WarnLevel, "hosts have different lists of initial voters",
		"The settings of two empty hosts name different initial voters, so no cluster is founded.",
		"Give all voters the same list of initial voters and start them again.")
	EventOtherCluster = eventlog.Define(4007, zerolog.ErrorLevel, "a host belongs to another cluster",
		"The host holds the log of another system, or the log was founded twice. A host whose log never had a majority joins the other one by itself.",
		"If both logs have a leader, compare their configurations, empty the data directories of the hosts with one of them, and submit what is missing again.")
)

// LogEffect logs the event of an effect, if it has one.
func LogEffect(log *eventlog.Logger, e Effect) {
	switch e := e.(type) {
	case RoleChanged:
		event := EventRoleChanged
		if e.Reason == ReasonLeaseExpired {
			event = EventLeaseExpired
		}
		log.Log(event).Stringer("role", e.Role).Uint64("term", e.Term).
			Str("leader", e.Leader.Name).Str("reason", string(e.Reason)).Send()
	case VotersChanged:
		log.Log(EventVotersChanged).Uint64("index", e.Index).
			Strs("voters", memberNames(e.Voters.Voters)).Strs("learners", memberNames(e.Voters.Learners)).Send()
	case RestoreSnapshot:
		log.Log(EventSnapshotRestored).Uint64("index", e.Snapshot.Index).
			Int("bytes", len(e.Snapshot.Data)).Send()
	case InitialVotersDiffer:
		log.Log(EventInitialVotersDiffer).Str("other", e.Member.Name).Send()
	case OtherClusterFound:
		log.Log(EventOtherCluster).Str("other", e.Member.Name).Str("cluster", string(e.Cluster)).Send()
	case StorageFull:
		event := EventStorageRecovered
		if e.Full {
			event = EventStorageFull
		}
		log.Log(event).Send()
	}
}

func memberNames(members []Member) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Name+"/"+string(m.Identity))
	}
	return names
}
