package quotarun

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

// Events of this package, numbers 2300 to 2399.
var (
	eventOverLimit = eventlog.Define(2300, zerolog.InfoLevel, "an account is over its limit",
		"Requests were rejected with 429 because the account's token bucket, which all hosts share, was empty. The line counts ten seconds at this host, over all accounts, and names the account that was rejected last.",
		"None, if the account sends more than it may. Otherwise raise its rate or burst in the configuration.")
	eventNoOwner = eventlog.Define(2301, zerolog.WarnLevel, "no owner of an account answered",
		"Requests were rejected with 503 because none of the account's three owners could grant a token in time: they are down, cut off, have started within the last seconds, or have used up what they may grant in place of the first one. The line counts ten seconds at this host, over all accounts, and names the account that was rejected last.",
		"Look at the owners in the line, and at the leader: without its confirmation no owner grants tokens. After a start or a change of the member list it ends within seconds.")
)

// reportInterval is the least time between two records of an event.
const reportInterval = 10 * time.Second

// throttle counts occurrences between two records of an event.
type throttle struct {
	next  time.Time
	count int
}

// due counts an occurrence and returns the count if it is to be recorded, otherwise 0.
func (t *throttle) due(now time.Time) int {
	t.count++
	if now.Before(t.next) {
		return 0
	}
	n := t.count
	t.next, t.count = now.Add(reportInterval), 0
	return n
}
