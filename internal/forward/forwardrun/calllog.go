package forwardrun

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Events of this package, numbers 8000 to 8099.
var (
	eventAnswered = eventlog.Define(8000, zerolog.InfoLevel, "request answered",
		"A caller's request succeeded. Only a sample of these requests is logged.",
		"None.")
	eventFailed = eventlog.Define(8001, zerolog.WarnLevel, "request failed",
		"A caller's request failed, or its answer lacks some shards.",
		"Look at the error code, the attempts and the version of the configuration; see docs/OPERATIONS.md.")
	eventOmitted = eventlog.Define(8002, zerolog.WarnLevel, "failed requests were not logged",
		"More requests failed in a second than are logged individually.",
		"Use the counters on the metrics address for the number of failures by code.")
	eventGathered = eventlog.Define(8005, zerolog.InfoLevel, "gathered for another host",
		"This host gathered the shards' replies for a request that another host received. Only a sample of these requests is logged.",
		"None.")
	eventGatherFailed = eventlog.Define(8006, zerolog.WarnLevel, "gather for another host failed",
		"This host rejected a request that another host received, or could not gather the replies of all its shards.",
		"The host that received the request logs the same request ID with event 8001. The attempts name the searchers to look at.")
	eventConnectionsWasted = eventlog.Define(8007, zerolog.InfoLevel, "connections to searchers carried no reply",
		"Searchers refused or reset new connections, mostly because they are down or over their connection limit, or this host abandoned the only request on a connection.",
		"If many hosts open connections to many services, compare the number of hosts with the connections that the plan grants. The line counts ten seconds.")
	eventExtraAttempts = eventlog.Define(8008, zerolog.InfoLevel, "extra attempts",
		"Searchers got some requests more than once: hedges and retries, within the budget that hosts share.",
		"None. If many are denied, look for slow or failing searchers of the service. The line counts ten seconds.")
	eventReportsContradicted = eventlog.Define(8020, zerolog.WarnLevel, "searchers misreport their load",
		"Response times contradict what these searchers report about their load, so that the reports hardly count in the choice of searchers.",
		"Look at how the named searcher measures its load. Until then it is judged by its response times. The line is written every ten seconds.")
)

// Limits of the call log.
const (
	sampleEvery    = 128 // successes per line
	failuresPerSec = 20  // lines
)

// CallLog logs failed calls up to a rate, and a sample of the others.
type CallLog struct {
	log      *eventlog.Logger
	answered eventlog.Event
	failed   eventlog.Event

	mu        sync.Mutex
	successes int
	second    time.Time
	failures  int
}

// NewCallLog returns the log of the calls that a host receives from callers.
func NewCallLog(log *eventlog.Logger) *CallLog {
	return &CallLog{log: log, answered: eventAnswered, failed: eventFailed}
}

// NewGatherLog returns the log of the calls that a host handles for other
// hosts.
func NewGatherLog(log *eventlog.Logger) *CallLog {
	return &CallLog{log: log, answered: eventGathered, failed: eventGatherFailed}
}

// CallRecord describes a finished call for the log.
type CallRecord struct {
	RequestID string
	Route     string
	Objective time.Duration
	Plan      uint64 // version of the route plan that handled it, 0 if none did
	Status    int    // sent to the caller; 0 if it left, or if another host answers it
	From      string // host that handed the call over, if one did
	Took      time.Duration
	Answer    *Answer // nil if the call was rejected before it was forwarded
	Err       *verdict.Error
}

// Record logs a finished call, within the limits of the log.
func (l *CallLog) Record(c CallRecord) {
	event, ok := l.shouldLog(c.Err == nil && (c.Answer == nil || c.Answer.Missing == 0))
	if !ok {
		return
	}
	line := l.log.Log(event).Str("request_id", c.RequestID).Dur("took", c.Took).Uint64("config_version", c.Plan)
	if c.Status > 0 {
		line = line.Int("status", c.Status)
	}
	if c.From != "" {
		line = line.Str("from", c.From)
	}
	if c.Route != "" {
		line = line.Str("route", c.Route).Dur("objective", c.Objective)
	}
	if err := c.Err; err != nil {
		line = line.Str("code", string(err.Code)).Stringer("verdict", err.Verdict).Dur("retry_after", err.RetryAfter).Str("reason", err.Error())
	}
	if a := c.Answer; a != nil {
		if a.Gatherer != "" {
			line = line.Str("gatherer", a.Gatherer)
			if a.Plan != c.Plan && a.Plan > 0 {
				line = line.Uint64("gatherer_config_version", a.Plan)
			}
		}
		line = line.Int("missing", a.Missing).Int("attempts", len(a.Attempts)).Array("not_good", notGood(a.Attempts))
	}
	line.Send()
}

// shouldLog returns the event for a finished call and reports whether to log
// it.
func (l *CallLog) shouldLog(success bool) (eventlog.Event, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if success {
		l.successes++
		return l.answered, l.successes%sampleEvery == 1
	}
	if now := time.Now(); now.Sub(l.second) >= time.Second {
		if omitted := l.failures - failuresPerSec; omitted > 0 {
			l.log.Log(eventOmitted).Int("requests", omitted).Send()
		}
		l.second, l.failures = now, 0
	}
	l.failures++
	return l.failed, l.failures <= failuresPerSec
}

// notGood encodes the attempts that brought no usable reply.
type notGood []AttemptRecord

// maxLoggedAttempts bounds the attempts in one line.
const maxLoggedAttempts = 8

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (n notGood) MarshalZerologArray(out *zerolog.Array) {
	written := 0
	for _, r := range n {
		if r.Result == "good" {
			continue
		}
		if written++; written > maxLoggedAttempts {
			return
		}
		out.Str(r.Service + "/" + r.Target + " " + r.Result + " " + r.Took.Round(time.Millisecond).String())
	}
}
