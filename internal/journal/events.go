package journal

import (
	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

// Events of this package, numbers 4100 to 4199.
var (
	EventOpened = eventlog.Define(4100, zerolog.InfoLevel, "journal opened",
		"The process started with a data directory.",
		"None.")
	EventIdentityCreated = eventlog.Define(4101, zerolog.WarnLevel, "new identity created for an empty data directory",
		"The data directory was empty: a first start, or a lost disk.",
		"After a lost disk, remove the old voter and promote the new learner.")
	EventTornTail = eventlog.Define(4102, zerolog.WarnLevel, "torn write at the end of the journal truncated",
		"The process or the host ended during a write that was not yet acknowledged.",
		"None.")
	EventCorrupt = eventlog.Define(4103, zerolog.ErrorLevel, "journal is corrupt, start refused",
		"A record before the end, a snapshot or the identity file is damaged or missing.",
		"Check the disk. Empty the data directory to rejoin as a learner under a new identity.")
	EventFailed = eventlog.Define(4104, zerolog.ErrorLevel, "journal failed, process must exit",
		"A sync or write failed, so it is unknown what the disk holds.",
		"Check the disk, then start the process again.")
	EventFull = eventlog.Define(4105, zerolog.ErrorLevel, "data directory is full, write refused",
		"A write failed for lack of space, and its partial data was removed.",
		"Free disk space. Writing resumes by itself.")
	EventWritingResumed = eventlog.Define(4106, zerolog.InfoLevel, "journal resumed writing",
		"The data directory has space again.",
		"None.")
	EventSnapshotWritten = eventlog.Define(4107, zerolog.InfoLevel, "snapshot written",
		"The log was compacted, or the leader sent a snapshot.",
		"None.")
	EventCleanupFailed = eventlog.Define(4108, zerolog.WarnLevel, "old journal file could not be removed",
		"Removing a segment or snapshot that is no longer needed failed.",
		"Check the permissions of the data directory.")
)
