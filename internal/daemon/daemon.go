// Package daemon assembles one host from its slices: the listeners, the control
// goroutine, the traffic side, and the execution of the control effects.
package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/admission"
	"github.com/hawthornlock/hawthornlock/internal/admission/admissionrun"
	"github.com/hawthornlock/hawthornlock/internal/bootclock"
	"github.com/hawthornlock/hawthornlock/internal/config/confighttp"
	"github.com/hawthornlock/hawthornlock/internal/connections"
	"github.com/hawthornlock/hawthornlock/internal/connections/poolrun"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/control/controlcodec"
	"github.com/hawthornlock/hawthornlock/internal/control/controlrun"
	"github.com/hawthornlock/hawthornlock/internal/entry"
	"github.com/hawthornlock/hawthornlock/internal/entry/entryhttp"
	"github.com/hawthornlock/hawthornlock/internal/entry/entryrun"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/follow"
	"github.com/hawthornlock/hawthornlock/internal/forward/forwardrun"
	"github.com/hawthornlock/hawthornlock/internal/gathering"
	"github.com/hawthornlock/hawthornlock/internal/intake/intakerun"
	"github.com/hawthornlock/hawthornlock/internal/journal"
	"github.com/hawthornlock/hawthornlock/internal/lifecycle"
	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/orders/ordersrun"
	"github.com/hawthornlock/hawthornlock/internal/peerlink"
	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/query/queryrun"
	"github.com/hawthornlock/hawthornlock/internal/quota/quotarun"
	"github.com/hawthornlock/hawthornlock/internal/settings"
	"github.com/hawthornlock/hawthornlock/internal/targets"
	"github.com/hawthornlock/hawthornlock/internal/targets/targethttp"
)

// handoverTimeout bounds the wait for a leadership transfer and for open orders
// during a graceful stop.
const handoverTimeout = 5 * time.Second

// planHandoverTimeout is the bound on hosts that serve a route plan: the
// platform kills a process seconds after asking it to stop, and there are no
// orders to settle. The transfer of leadership begins when new work is refused.
const planHandoverTimeout = 400 * time.Millisecond

// answerTimeout bounds the wait for the answers of requests that the end of a stop has
// ended. No work is left for them but to be encoded and written.
const answerTimeout = 150 * time.Millisecond

func (d *Daemon) handoverTimeout() time.Duration {
	if d.settings.ServePlan {
		return planHandoverTimeout
	}
	return handoverTimeout
}

// readHeaderTimeout bounds how long another host may take to send its headers.
const readHeaderTimeout = 5 * time.Second

// maxHeaderBytes bounds the headers that a client may send. The configuration may
// set a lower limit for callers.
const maxHeaderBytes = 128 << 10

// Daemon is one running host.
type Daemon struct {
	settings  *settings.Settings
	log       *eventlog.Logger
	ctx       context.Context
	cancel    context.CancelCauseFunc
	loop      *controlrun.Loop
	links     *peerlink.Links
	directory *directory
	// incarnation is higher than that of every earlier process of this host.
	incarnation uint64
	tokens      *confighttp.Tokens // nil without authentication, on loopback only
	journal     *journal.Journal   // nil on a host without the log
	mayFound    bool               // the data directory dates from the first start of the whole system
	pools       *poolrun.Pools
	metrics     *metrics
	driver      *queryrun.Driver
	groups      *entryrun.Groups
	admission   *admissionrun.Controller
	inFlight    *entryrun.InFlight
	queries     *entryrun.Queries
	orderRuns   *ordersrun.Driver
	orders      *entryrun.Orders
	requests    atomic.Uint64
	leaderHint  atomic.Pointer[string] // leader that another host last reported
	adapter     Adapter
	startedAt   time.Time
	gather      gatherState
	engine      *forwardrun.Engine // nil unless the host serves a route plan
	gate        *searcherGate      // nil like engine
	quotas      *quotarun.Quotas   // nil unless the host serves a route plan
	listeners   Listeners
	servers     map[string]*http.Server
	intake      *intakerun.Gate         // limits on clients
	peerIntake  *intakerun.Gate         // limits on other hosts
	served      map[string]net.Listener // what the servers accept from
	workers     sync.WaitGroup
}

// Listeners holds the open listeners of a host by interface name: "caller",
// "target", "admin", "peer" and, if set, "ready" and "metrics".
type Listeners map[string]net.Listener

// Listen opens the listeners that the settings name.
func Listen(s *settings.Settings) (Listeners, error) {
	out := make(Listeners)
	for name, address := range map[string]netip.AddrPort{
		"caller": s.CallerListen, "target": s.TargetListen, "admin": s.AdminListen, "peer": s.PeerListen,
		"ready": s.ReadyListen, "metrics": s.MetricsListen,
	} {
		if !address.IsValid() {
			continue
		}
		ln, err := net.Listen("tcp", address.String())
		if err != nil {
			out.Close()
			return nil, errors.Wrapf(err, "listen for the %s interface", name)
		}
		out[name] = ln
	}
	return out, nil
}

// Close closes the listeners.
func (l Listeners) Close() {
	for _, ln := range l {
		_ = ln.Close()
	}
}

// Address returns the IP address and port of a listener.
func (l Listeners) Address(name string) netip.AddrPort {
	return l[name].Addr().(*net.TCPAddr).AddrPort()
}

// New assembles a host and opens its durable state. Run starts it. The host
// closes the listeners when it ends.
//
// An adapter, if given, replaces the daemon's own protocols by those of a
// platform.
func New(s *settings.Settings, listeners Listeners, log *eventlog.Logger, adapter ...Adapter) (*Daemon, error) {
	d := &Daemon{settings: s, log: log, incarnation: uint64(time.Now().UnixNano()), listeners: listeners, directory: newDirectory(), links: peerlink.New(), inFlight: entryrun.NewInFlight(), startedAt: time.Now()}
	d.ctx, d.cancel = context.WithCancelCause(context.Background())
	if len(adapter) > 0 {
		d.adapter = adapter[0]
	}
	if err := d.loadTokens(); err != nil {
		return nil, err
	}
	if err := d.assemble(); err != nil {
		return nil, errors.CombineErrors(err, d.closeLog())
	}
	return d, nil
}

func (d *Daemon) loadTokens() error {
	tokens, err := confighttp.LoadTokens(d.settings.AdminTokenFile, "")
	if err != nil {
		return err
	}
	d.tokens = tokens
	return confighttp.CheckBind(d.settings.AdminListen.String(), tokens)
}

// Address returns the address on which an interface accepts connections.
func (d *Daemon) Address(name string) netip.AddrPort { return d.listeners.Address(name) }

func (d *Daemon) assemble() error {
	node, err := d.openLog()
	if err != nil {
		return err
	}
	core := control.NewCore(control.Options{
		Self: d.settings.Host, Member: d.member(), Seeds: d.seeds(), Staleness: d.settings.ConfigStaleness, Voters: d.voterFeeds(),
		Shares: connections.Config{DrainTimeout: d.settings.MaxTimeout},
		Node:   node, Codec: controlcodec.Codec{Plans: d.adapter.Plans},
		ServePlan: d.settings.ServePlan, FindVoters: d.settings.FindVoters, FoundLog: d.mayFound, FirstSeeds: d.settings.Peers,
		LossTolerance: d.settings.LossTolerance, LeasePeriod: d.settings.LeasePeriod,
		Lifecycle: lifecycle.Options{
			BalancerLag: d.settings.BalancerLag, ShutdownTimeout: d.settings.ShutdownTimeout, AnswerTimeout: answerTimeout, HandoverTimeout: d.handoverTimeout(),
		},
	}, bootclock.Now())
	d.loop = controlrun.New(core, d.inFlight.Count, d.log, bootclock.Now)
	d.pools = poolrun.NewPools(poolrun.Config{}, d.log)
	client := targethttp.NewClient(targethttp.ClientConfig{NetworkAllowance: d.settings.NetworkAllowance}, d.pools, d.log)
	d.engine = d.newEngine()
	d.quotas = d.newQuotas()
	d.gather.chooser, d.gather.log = gathering.NewChooser(), forwardrun.NewGatherLog(d.log)
	d.intake, d.peerIntake = d.newIntake(), d.newPeerIntake()
	d.metrics = newMetrics(d)
	d.groups = entryrun.NewGroups(d.budgetLimits(), d.settings.Seed, d.log)
	d.groups.SetWithdrawn(func(domain string) bool { return d.loop.Snapshot().Withdrawals.Withdrawn(domain) })
	d.admission = admissionrun.New(admission.Config{Concurrency: d.settings.MaxQueries, QueueLength: d.settings.QueueLength}, d.log)
	d.driver = queryrun.New(queryrun.Config{
		Transport: entryrun.NewTransport(client, d.groups), Catalogs: d.loop, Log: d.log, OnDrain: d.observeDrain, Seed: d.settings.Seed,
	})
	d.queries = entryrun.NewQueries(d.loop, d.driver, d.groups, d.admission, d.inFlight, d.metrics, d.timeouts())
	d.orderRuns = ordersrun.New(ledger{d}, d.settings.Host, d.incarnation)
	d.orders = entryrun.NewOrders(d.loop, d.orderRuns, client, d.groups, d.inFlight, d.metrics, d.timeouts(), d.log)
	d.servers, d.served = make(map[string]*http.Server), make(map[string]net.Listener)
	for name := range d.listeners {
		d.servers[name] = &http.Server{
			Handler: d.router(name), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: d.log.Standard(eventHTTPServer),
		}
	}
	if caller := d.servers["caller"]; caller != nil {
		caller.ConnState = newIdleCloser(d.callerIdleTimeout).changed
		caller.ConnContext = withCallerConn
	}
	for name, server := range d.servers {
		d.served[name] = d.listeners[name]
		d.limitIntake(name, server)
	}
	return nil
}

// member returns the membership record of this host.
func (d *Daemon) member() membership.Member {
	m := membership.Member{
		Host: d.settings.Host, Incarnation: d.incarnation, PeerAddress: d.Address("peer"),
		Region: d.settings.Region, FailureDomain: d.settings.FailureDomain, Capacity: uint32(d.settings.Capacity),
	}
	for role, flag := range map[settings.Role]membership.Roles{
		settings.Entry: membership.RoleEntry, settings.Voter: membership.RoleVoter, settings.Relay: membership.RoleRelay,
	} {
		if d.settings.HasRole(role) {
			m.Roles |= flag
		}
	}
	if d.mayFound {
		m.Roles |= membership.RoleFounder
	}
	return m
}

// seeds returns the peer addresses of other hosts from the settings.
func (d *Daemon) seeds() []netip.AddrPort { return seedsOf(d.settings, d.Address("peer")) }

func seedsOf(s *settings.Settings, self netip.AddrPort) []netip.AddrPort {
	out := slices.Clone(s.Peers)
	for _, v := range s.Voters {
		out = append(out, v.Peer)
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(a netip.AddrPort) bool { return a == self })
}

func (d *Daemon) voterFeeds() []follow.FeedHost {
	var out []follow.FeedHost
	for _, v := range d.settings.Voters {
		d.directory.fixed[v.Host] = v.Peer
		out = append(out, follow.FeedHost{Host: v.Host})
	}
	return out
}

func (d *Daemon) budgetLimits() query.BudgetLimits {
	l := query.DefaultBudgetLimits()
	l.HedgePermille = d.settings.HedgePermille
	l.RetryPermille = d.settings.RetryPermille
	return l
}

func (d *Daemon) router(name string) http.Handler {
	if router := d.adapter.Routers[name]; router != nil {
		return router(d)
	}
	switch name {
	case "caller":
		return entryhttp.NewRouter(entryhttp.Config{
			Queries:  d.queries,
			Orders:   d.orders,
			Timeouts: d.timeouts(),
			NewID:    d.newRequestID,
		})
	case "target":
		mux := http.NewServeMux()
		mux.Handle("POST /v1/announce", targethttp.AnnounceHandler(d.announce))
		return mux
	case "peer":
		return d.peerRouter()
	case "ready":
		return http.HandlerFunc(d.readyz)
	case "metrics":
		return d.metricsRouter()
	default:
		return d.adminRouter()
	}
}

func (d *Daemon) timeouts() entry.Timeouts {
	return entry.Timeouts{Default: d.settings.DefaultTimeout, Max: d.settings.MaxTimeout}
}

// newRequestID returns an ID that is unique across hosts and restarts.
func (d *Daemon) newRequestID() string {
	return fmt.Sprintf("%s-%x-%x", d.settings.Host, d.settings.Seed, d.requests.Add(1))
}

func (d *Daemon) announce(r *http.Request, a targets.Announcement) error {
	_, err := d.loop.Call(r.Context(), func(token uint64) control.Event {
		return control.Announced{Token: token, Announcement: a}
	})
	return err
}

// observeDrain reports to the control goroutine that a reply marked its target
// as draining. A full queue drops the report; the target's next reply or
// announcement repeats it.
func (d *Daemon) observeDrain(seen query.DrainObserved) {
	d.loop.TryPost(control.TargetsEvent{Event: targets.DrainObserved{Target: seen.Target, Incarnation: seen.Incarnation}})
}

// Run serves until the host has stopped or failed. The end of ctx begins a
// graceful stop.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.close()
	d.start(func() { d.loop.Run(d.ctx, d) })
	d.start(d.applySnapshots)
	if d.engine != nil {
		d.start(func() { d.engine.Maintain(d.ctx) })
		d.start(d.logUsage)
		if d.settings.RevocationBound > 0 {
			d.start(d.watchKeys)
		}
	}
	for name := range d.servers {
		d.start(func() { d.serve(name) })
	}
	d.log.Log(eventStarted).
		Stringer("caller", d.Address("caller")).Stringer("target", d.Address("target")).
		Stringer("admin", d.Address("admin")).Stringer("peer", d.Address("peer")).Send()
	select {
	case <-ctx.Done():
		d.Stop()
		<-d.ctx.Done()
	case <-d.ctx.Done():
	}
	if err := context.Cause(d.ctx); !errors.Is(err, errStopped) {
		return err
	}
	return nil
}

// Cancellation causes of the host's context after a stop.
var (
	errStopped     = errors.New("stopped")
	errInterrupted = errors.New("requests were interrupted")
)

// Stop begins a graceful stop. Called again, it ends the host at once.
func (d *Daemon) Stop() {
	ev := control.LifecycleEvent{Event: lifecycle.StopRequested{InFlight: d.inFlight.Count()}}
	if err := d.loop.Post(d.ctx, ev); err != nil {
		d.cancel(err)
	}
}

func (d *Daemon) start(f func()) {
	d.workers.Add(1)
	go func() {
		defer d.workers.Done()
		f()
	}()
}

func (d *Daemon) serve(name string) {
	if err := d.servers[name].Serve(d.served[name]); err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.fail(errors.Wrapf(err, "serve the %s interface", name))
	}
}

// fail ends the host after an error that makes it unsafe to continue.
func (d *Daemon) fail(err error) {
	if d.ctx.Err() == nil {
		d.log.Log(eventFailed).Err(err).Send()
	}
	d.cancel(err)
}

// Bounds of the wait for the last responses to be written. All requests have ended by
// then; only unsent bytes may remain. Other calls of hosts end with the control
// goroutine, and those hosts repeat them elsewhere.
const (
	callerFlushTimeout = 2 * time.Second
	peerFlushTimeout   = answerTimeout
)

// flush waits until the servers have written their responses, to callers and to hosts
// that handed requests over. A response that is not written in time is cut off when the
// server is closed.
func (d *Daemon) flush() {
	var flushed sync.WaitGroup
	for name, timeout := range map[string]time.Duration{"caller": callerFlushTimeout, "peer": peerFlushTimeout} {
		flushed.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			_ = d.servers[name].Shutdown(ctx)
		})
	}
	flushed.Wait()
}

func (d *Daemon) close() {
	if errors.Is(context.Cause(d.ctx), errStopped) || errors.Is(context.Cause(d.ctx), errInterrupted) {
		d.flush()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.cancel(nil)
	// After a graceful stop the journal is closed already, and closing it again
	// has no effect.
	_ = d.closeLog()
	if d.engine != nil {
		d.engine.Close()
		d.quotas.Close()
	}
	d.links.Close()
	d.workers.Wait()
	d.log.Log(eventStopped).Send()
}
