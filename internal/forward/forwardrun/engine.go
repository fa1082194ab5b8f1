package forwardrun

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// Config configures an Engine.
type Config struct {
	Wire          Wire
	FailureDomain string
	Budget        forward.BudgetLimits
	Seed          uint64
	// OnMisdirected is called when another searcher answered at the address of a
	// target. It must not block.
	OnMisdirected func(target string, incarnation uint64)
	// OnLeaving is called when a reply of a target said that it leaves. It must not
	// block, and may be called more than once for one target.
	OnLeaving func(target string, incarnation uint64)
	// Gate keeps requests away from searchers. nil admits all of them.
	Gate forward.Gate
	// ReplyMemory bounds the bytes that replies hold at any time, all calls
	// together. 0 means DefaultReplyMemory.
	ReplyMemory int64
}

// DefaultReplyMemory is the default of Config.ReplyMemory in bytes.
const DefaultReplyMemory = 64 << 20

// dialTimeout bounds a dial. A packet that a full accept queue drops is sent
// again only after a second.
const dialTimeout = 900 * time.Millisecond

// Engine forwards calls to searchers. It is safe for concurrent use.
type Engine struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	dialer net.Dialer
	memory replyMemory

	mu       sync.RWMutex
	services map[string]*service

	share atomic.Pointer[BudgetShare] // nil if no other host has a part

	routesMu sync.Mutex
	routes   map[string]*routeState
	costs    *workload.Costs
	kinds    map[string]*KindEstimates
	stats    Stats

	ending atomic.Pointer[ending]
}

// ending is when all calls end because the process is about to exit.
type ending struct {
	by       time.Time     // zero for no limit
	replaced chan struct{} // closed when another one replaces it
}

// Stats are totals since the start of the engine.
type Stats struct {
	Calls, Attempts, Retries, Dials, DialFailures, Lost, Rejected, Shed atomic.Int64
	// Extra counts the attempts that were charged to a budget, by reason.
	Extra [len(forward.ExtraReasonCounts{})]atomic.Int64
}

// routeState is the engine's state of a route, kept across versions of the
// route.
type routeState struct {
	timing       *forward.Timing
	splitter     forward.Splitter
	admission    forward.Admission
	fair         forward.FairShares
	priority     int
	firstService string // identifies routes over the same shards
}

// New returns an engine without searchers.
func New(config Config) *Engine {
	e := &Engine{config: config, services: make(map[string]*service), routes: make(map[string]*routeState), costs: workload.NewCosts(), kinds: make(map[string]*KindEstimates)}
	e.ending.Store(&ending{replaced: make(chan struct{})})
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	e.memory.limit = config.ReplyMemory
	if e.memory.limit <= 0 {
		e.memory.limit = DefaultReplyMemory
	}
	return e
}

// Stats returns the totals.
func (e *Engine) Stats() *Stats { return &e.stats }

// SetSearchers replaces the searchers of all services.
func (e *Engine) SetSearchers(specs map[string][]forward.SearcherSpec) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, list := range specs {
		s := e.services[name]
		if s == nil {
			s = newService(e, name)
			e.services[name] = s
		}
		s.replace(list)
	}
	for name, s := range e.services {
		if _, ok := specs[name]; !ok {
			s.replace(nil)
		}
	}
}

func (e *Engine) service(name string) *service {
	e.mu.RLock()
	s := e.services[name]
	e.mu.RUnlock()
	if s != nil {
		return s
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s = e.services[name]; s == nil {
		s = newService(e, name)
		e.services[name] = s
	}
	return s
}

// maxRouteStates bounds the states of routes, which stay when plans no longer
// name the route.
const maxRouteStates = 20_000

func (e *Engine) route(name string) *routeState {
	e.routesMu.Lock()
	defer e.routesMu.Unlock()
	r := e.routes[name]
	if r == nil {
		if len(e.routes) >= maxRouteStates {
			clear(e.routes)
		}
		r = &routeState{timing: forward.NewTiming()}
		e.routes[name] = r
	}
	return r
}

// servicesOf returns the services that answer a call: the shards of a gathered
// route that it is about, or the one that the split selects.
func (e *Engine) servicesOf(call *Call, state *routeState) []string {
	r := call.Route
	if r.Gather != nil {
		return call.shards()
	}
	if len(r.Splits) == 1 {
		return []string{r.Splits[0].Service}
	}
	e.routesMu.Lock()
	defer e.routesMu.Unlock()
	return []string{r.Splits[state.splitter.Next(r.Splits)].Service}
}

// EndBy makes all calls end by a time, because the process is about to exit. An earlier
// time replaces a later one.
func (e *Engine) EndBy(at time.Time) {
	old := e.ending.Swap(&ending{by: at, replaced: make(chan struct{})})
	close(old.replaced)
}

// replyMargin is how long before the end of all calls a searcher or another host is told
// to stop, so that what it says about a request still arrives.
const replyMargin = 100 * time.Millisecond

// Limit returns the deadline for work of others on a call with the given deadline. It is
// earlier if the process exits before.
func (e *Engine) Limit(deadline time.Time) time.Time {
	end := e.ending.Load()
	if early := end.by.Add(-replyMargin); !end.by.IsZero() && early.Before(deadline) {
		return early
	}
	return deadline
}

// Close closes idle connections and cancels dials. Attempts in flight go on.
func (e *Engine) Close() {
	e.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.services {
		s.replace(nil)
	}
}

// maintainInterval is the time between two checks for searchers without a
// connection, and so the least time after which one that was down is found
// again.
const maintainInterval = 200 * time.Millisecond

// Maintain keeps a connection open to every searcher until ctx ends, so that
// requests do not wait for a dial.
func (e *Engine) Maintain(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.mu.RLock()
			for _, s := range e.services {
				s.warm()
			}
			e.mu.RUnlock()
		}
	}
}
