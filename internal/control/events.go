package control

import (
	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

// Events of this package, numbers 1200 to 1299.
var (
	EventFeedReplaced = eventlog.Define(1200, zerolog.WarnLevel, "configuration feed replaced",
		"A feed did not answer for a second, or a peer had a newer revision.",
		"Check the old feed's host. This host follows the new one.")
	EventChangeAccepted = eventlog.Define(1201, zerolog.InfoLevel, "change accepted",
		"The replicated log committed a configuration change by an operator or a host.",
		"None.")
	EventPlanInForce = eventlog.Define(1203, zerolog.InfoLevel, "route plan in force",
		"A route plan with a higher version arrived from the replicated log or from another host.",
		"None. Requests that arrive from now on are handled by this version.")
	EventControlSlow = eventlog.Define(1202, zerolog.WarnLevel, "control loop was late",
		"The control goroutine did not run for more than a heartbeat interval because the process was paused or overloaded.",
		"Check the load of the host.")
	EventSuspended = eventlog.Define(1204, zerolog.WarnLevel, "the machine was suspended",
		"The clock that counts suspensions is ahead of the monotonic clock. Other hosts may have elected a leader and changed the configuration meanwhile.",
		"None if the suspension was planned. Otherwise check the virtual machine's host.")
	EventReadAnswered = eventlog.Define(1205, zerolog.InfoLevel, "read of the replicated state answered",
		"The leader answered an operator's read. The fields say in which term and up to which log entry.",
		"None. If two hosts answered with different versions, compare their terms.")
	EventWithdrawals = eventlog.Define(1206, zerolog.WarnLevel, "withdrawn failure domains changed",
		"An operator withdrew or restored a failure domain. This host now sends nothing to the targets of the failure domains that the event names.",
		"None. hawthornlock domain list shows the capacity that is left.")
)
