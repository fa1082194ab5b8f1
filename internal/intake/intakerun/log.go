package intakerun

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

// Events of this package, numbers 9500 to 9599.
var refusalEvents = [kinds]eventlog.Event{
	Memory: eventlog.Define(9500, zerolog.WarnLevel, "requests were refused for want of memory for requests",
		"Clients send more heads and bodies at once than -intake-memory allows. The ones without progress for the longest time were refused before they ran. The line counts a second.",
		"Look for clients that send large requests and do not end them. If all clients are well-behaved, raise -memory-limit or -intake-memory."),
	Stalled: eventlog.Define(9501, zerolog.WarnLevel, "requests were refused because their bodies made no progress",
		"Clients began a body and stopped sending for -body-stall. The line counts a second.",
		"Look at the clients and at the network to them."),
	Connections: eventlog.Define(9502, zerolog.WarnLevel, "connections were closed because there were too many",
		"A listener has more connections than its limit, or than one client address may have. The ones without progress for the longest time were closed; no request had run on them. The line counts a second.",
		"Look for clients that open connections and do not use them. If all clients are well-behaved, raise -caller-connections or -control-connections, and check the limit of file descriptors."),
	Unread: eventlog.Define(9503, zerolog.WarnLevel, "connections were closed because their clients did not take the answer",
		"Clients took less than 16 KB of an answer in -answer-stall. The line counts a second.",
		"Look at the clients and at the network to them."),
}

// logInterval bounds the log lines of each kind of refusal.
const logInterval = time.Second

// refusalLog logs the number of refusals of each kind, at most once an interval.
type refusalLog struct {
	log *eventlog.Logger

	mu    sync.Mutex
	open  [kinds]bool // an interval has begun
	count [kinds]int  // since the last line
}

func newRefusalLog(log *eventlog.Logger) *refusalLog { return &refusalLog{log: log} }

func (l *refusalLog) add(k Kind, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count[k] += n
	if !l.open[k] {
		l.open[k] = true
		l.writeLocked(k)
		time.AfterFunc(logInterval, func() { l.expired(k) })
	}
}

// expired ends an interval, and begins another one if there were refusals in it.
func (l *refusalLog) expired(k Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count[k] == 0 {
		l.open[k] = false
		return
	}
	l.writeLocked(k)
	time.AfterFunc(logInterval, func() { l.expired(k) })
}

func (l *refusalLog) writeLocked(k Kind) {
	l.log.Log(refusalEvents[k]).Int("refused", l.count[k]).Send()
	l.count[k] = 0
}
