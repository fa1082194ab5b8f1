package forwardrun

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/forward"
)

// UsageInterval is the time between two records of the usage of searchers.
const UsageInterval = 10 * time.Second

// ConnectionCount counts connections to searchers.
type ConnectionCount struct {
	Opened     int // including those that failed
	Failed     int // could not be opened
	Unanswered int // ended without any reply
}

func (c ConnectionCount) add(o ConnectionCount) ConnectionCount {
	return ConnectionCount{c.Opened + o.Opened, c.Failed + o.Failed, c.Unanswered + o.Unanswered}
}

// wasted returns the number of connections that carried no reply.
func (c ConnectionCount) wasted() int { return c.Failed + c.Unanswered }

// ServiceUsage is what this host has used of a service since the last record.
type ServiceUsage struct {
	Service      string
	Connections  ConnectionCount
	Extra        forward.ExtraCount
	Reasons      forward.ExtraReasonCounts // of the extra attempts that were made, granted ones included
	Fixed        float64                   // extra attempts in a window that are this host's, whatever it gets
	Contradicted []forward.Identity        // searchers whose reports their responses contradict
}

// Usage is what this host has used of all services since the last record.
type Usage struct {
	Connections   ConnectionCount
	Services      int          // to which connections were opened
	MostWasted    ServiceUsage // most connections that carried no reply
	Extra         forward.ExtraCount
	Reasons       forward.ExtraReasonCounts
	MostExtra     ServiceUsage   // most extra attempts, or wanted ones
	TopExtra      []ServiceUsage // most extra attempts made, at most topExtraServices
	ExtraServices int            // with extra attempts
	Sharers       int            // hosts that divide the fixed part of the budgets; 0 if this host has no part
	Contradicted  int            // searchers whose reports of their load their responses contradict
	Misreporting  string         // one of them: service/target
}

// TakeUsage returns the usage since the last call.
func (e *Engine) TakeUsage() Usage {
	e.mu.RLock()
	defer e.mu.RUnlock()
	var u Usage
	for _, s := range e.services {
		su, sharers := s.takeUsage()
		u.Connections = u.Connections.add(su.Connections)
		if su.Connections.Opened > 0 {
			u.Services++
		}
		if su.Connections.wasted() > u.MostWasted.Connections.wasted() {
			u.MostWasted = su
		}
		u.Extra = u.Extra.Add(su.Extra)
		for reason, n := range su.Reasons {
			u.Reasons[reason] += n
		}
		u.Contradicted += len(su.Contradicted)
		if len(su.Contradicted) > 0 {
			u.Misreporting = su.Service + "/" + su.Contradicted[0].Target
		}
		if su.Extra.Wanted()+su.Extra.Granted+su.Reasons.Sum() == 0 {
			continue
		}
		u.ExtraServices++
		u.addTopExtra(su)
		if su.Extra.Wanted() > u.MostExtra.Extra.Wanted() {
			u.MostExtra = su
		}
		u.Sharers = sharers
	}
	return u
}

// topExtraServices bounds the services that a record names, so that the extra attempts of
// all hosts at one service can be added up from their logs.
const topExtraServices = 12

// addTopExtra keeps the services with the most extra attempts, most first.
func (u *Usage) addTopExtra(su ServiceUsage) {
	if su.Reasons.Sum() == 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(u.TopExtra, su, func(a, b ServiceUsage) int {
		return cmp.Or(cmp.Compare(b.Reasons.Sum(), a.Reasons.Sum()), cmp.Compare(a.Service, b.Service))
	})
	u.TopExtra = slices.Insert(u.TopExtra, at, su)
	u.TopExtra = u.TopExtra[:min(len(u.TopExtra), topExtraServices)]
}

// takeUsage returns the usage of the service since the last call, and the number of
// hosts that share its budget.
func (s *service) takeUsage() (u ServiceUsage, sharers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budget()
	u = ServiceUsage{Service: s.name, Connections: s.used, Extra: b.TakeCount(), Reasons: s.group.TakeExtraReasons(), Fixed: b.Fixed(), Contradicted: s.group.Contradicted(time.Now())}
	s.used = ConnectionCount{}
	return u, b.Hosts()
}

// Log writes the usage, in one line for connections that carried no reply, one for extra
// attempts, and one for reports that responses contradict.
func (u Usage) Log(log *eventlog.Logger) {
	if u.Connections.wasted() > 0 {
		c, most := u.Connections, u.MostWasted
		log.Log(eventConnectionsWasted).Int("opened", c.Opened).Int("failed", c.Failed).Int("unanswered", c.Unanswered).Int("services", u.Services).
			Str("most", most.Service).Int("most_opened", most.Connections.Opened).Int("most_wasted", most.Connections.wasted()).Send()
	}
	if u.Extra.Wanted()+u.Extra.Granted+u.Reasons.Sum() > 0 {
		x, most := u.Extra, u.MostExtra
		log.Log(eventExtraAttempts).Int("requests", x.Requests).Int("made", x.Made).Int("denied", x.Denied).Int("services", u.ExtraServices).
			Int("granted", x.Granted).Int("sharers", u.Sharers).
			Str("most", most.Service).Int("most_requests", most.Extra.Requests).Int("most_made", most.Extra.Made).Int("most_denied", most.Extra.Denied).
			Float64("most_fixed", most.Fixed).Array("reasons", reasonCounts(u.Reasons)).Array("made_by_service", servicesMade(u.TopExtra)).Send()
	}
	if u.Contradicted > 0 {
		log.Log(eventReportsContradicted).Int("searchers", u.Contradicted).Str("one", u.Misreporting).Send()
	}
}

// reasonCounts encodes extra attempts by reason.
type reasonCounts forward.ExtraReasonCounts

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (c reasonCounts) MarshalZerologArray(out *zerolog.Array) {
	for _, reason := range forward.AllExtraReasons() {
		if n := c[reason]; n > 0 {
			out.Str(fmt.Sprintf("%s %d", reason, n))
		}
	}
}

// servicesMade encodes the extra attempts at each service.
type servicesMade []ServiceUsage

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l servicesMade) MarshalZerologArray(out *zerolog.Array) {
	for _, su := range l {
		out.Str(fmt.Sprintf("%s %d", su.Service, su.Reasons.Sum()))
	}
}
