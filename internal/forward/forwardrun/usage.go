package forwardrun

import (
	"time"

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
	Contradicted []forward.Identity // searchers whose reports their responses contradict
}

// Usage is what this host has used of all services since the last record.
type Usage struct {
	Connections    ConnectionCount
	Services       int          // to which connections were opened
	MostWasted     ServiceUsage // most connections that carried no reply
	Extra          forward.ExtraCount
	MostExtra      ServiceUsage // most extra attempts, or wanted ones
	ExtraServices  int          // with extra attempts
	LeastSharers   int          // of the budgets of those services
	LargestSharers int
	Contradicted   int    // searchers whose reports of their load their responses contradict
	Misreporting   string // one of them: service/target
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
		u.Contradicted += len(su.Contradicted)
		if len(su.Contradicted) > 0 {
			u.Misreporting = su.Service + "/" + su.Contradicted[0].Target
		}
		if su.Extra.Wanted() == 0 {
			continue
		}
		u.ExtraServices++
		if su.Extra.Wanted() > u.MostExtra.Extra.Wanted() {
			u.MostExtra = su
		}
		if u.LeastSharers == 0 || sharers < u.LeastSharers {
			u.LeastSharers = sharers
		}
		u.LargestSharers = max(u.LargestSharers, sharers)
	}
	return u
}

// takeUsage returns the usage of the service since the last call, and the number of
// hosts that share its budget.
func (s *service) takeUsage() (u ServiceUsage, sharers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u = ServiceUsage{Service: s.name, Connections: s.used, Extra: s.group.Budget().TakeCount(), Contradicted: s.group.Contradicted(time.Now())}
	s.used = ConnectionCount{}
	return u, s.group.Budget().Hosts()
}

// Log writes the usage, in one line for connections that carried no reply, one for extra
// attempts, and one for reports that responses contradict.
func (u Usage) Log(log *eventlog.Logger) {
	if u.Connections.wasted() > 0 {
		c, most := u.Connections, u.MostWasted
		log.Log(eventConnectionsWasted).Int("opened", c.Opened).Int("failed", c.Failed).Int("unanswered", c.Unanswered).Int("services", u.Services).
			Str("most", most.Service).Int("most_opened", most.Connections.Opened).Int("most_wasted", most.Connections.wasted()).Send()
	}
	if u.Extra.Wanted() > 0 {
		x, most := u.Extra, u.MostExtra
		log.Log(eventExtraAttempts).Int("requests", x.Requests).Int("made", x.Made).Int("denied", x.Denied).Int("services", u.ExtraServices).
			Int("least_sharers", u.LeastSharers).Int("most_sharers", u.LargestSharers).
			Str("most", most.Service).Int("most_requests", most.Extra.Requests).Int("most_made", most.Extra.Made).Int("most_denied", most.Extra.Denied).Send()
	}
	if u.Contradicted > 0 {
		log.Log(eventReportsContradicted).Int("searchers", u.Contradicted).Str("one", u.Misreporting).Send()
	}
}
