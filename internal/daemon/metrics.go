package daemon

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/hawthornlock/hawthornlock/internal/bootclock"
	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/forward/forwardrun"
	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

const namespace = "hawthornlock"

// Labels take their values from the configuration (groups) or from constants
// of the code (codes, verdicts), so their number is bounded.
const (
	labelGroup   = "group"
	labelCode    = "code"
	labelKind    = "kind"
	labelVerdict = "verdict"
	labelReason  = "reason"
)

// metrics holds the metrics of requests and a registry that also reads the
// state of the host's slices at each scrape.
type metrics struct {
	registry      *prometheus.Registry
	latency       *prometheus.HistogramVec
	coverage      *prometheus.HistogramVec
	subRequests   *prometheus.CounterVec
	requestErrors *prometheus.CounterVec
	orders        *prometheus.CounterVec
	forwarded     *prometheus.CounterVec
	forwardTime   *prometheus.HistogramVec
	missing       prometheus.Counter
}

// ObserveForward records a caller's request that was handled by the route plan.
// code is empty on success.
func (d *Daemon) ObserveForward(kind string, took time.Duration, code verdict.Code, missing int) {
	outcome := string(code)
	if outcome == "" {
		outcome = "ok"
		d.metrics.forwardTime.WithLabelValues(kind).Observe(took.Seconds())
	}
	d.metrics.forwarded.WithLabelValues(kind, outcome).Inc()
	d.metrics.missing.Add(float64(missing))
}

// engineStats returns collectors of the forwarding engine's totals.
func engineStats(d *Daemon) []prometheus.Collector {
	if d.engine == nil {
		return nil
	}
	st := d.engine.Stats()
	total := func(name, help string, value *atomic.Int64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, func() float64 { return float64(value.Load()) })
	}
	out := []prometheus.Collector{
		total("forward_attempts_total", "Attempts sent to searchers.", &st.Attempts),
		total("forward_extra_attempts_total", "Attempts beyond the first of a request at a service: hedges and retries.", &st.Retries),
		total("forward_lost_total", "Attempts without a usable answer.", &st.Lost),
		total("forward_rejected_total", "Attempts that searchers rejected.", &st.Rejected),
		total("forward_shed_total", "Gathered requests that were rejected because the shards could not answer in time.", &st.Shed),
		total("forward_cold_held_total", "Attempts that were kept away from a cold target because this host had no share left of the requests to it.", &d.gate.held),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: "withdrawn_failure_domains", Help: "Failure domains to whose targets this host sends nothing, by order of an operator."}, func() float64 {
			return float64(len(d.loop.Snapshot().Withdrawals.Names()))
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: "forward_fixed_extra_attempts", Help: "Extra attempts at each service that this host may make or grant in a window whatever the number of requests. The sum over all hosts is less than the fixed part of the budget."}, d.engine.FixedExtra),
		total("forward_dials_total", "Connections opened to searchers.", &st.Dials),
		total("forward_dial_failures_total", "Connections to searchers that could not be opened.", &st.DialFailures),
	}
	for _, reason := range forward.AllExtraReasons() {
		out = append(out, prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "forward_budgeted_attempts_total", Help: "Attempts that were charged to the budget of extra attempts, by reason.",
			ConstLabels: prometheus.Labels{labelReason: reason.String()},
		}, func() float64 { return float64(st.Extra[reason].Load()) }))
	}
	return out
}

// logUsage logs what the host has used of searchers, until it ends.
func (d *Daemon) logUsage() {
	ticker := time.NewTicker(forwardrun.UsageInterval)
	defer ticker.Stop()
	held := int64(0) // up to the last line
	for {
		select {
		case <-ticker.C:
			d.engine.TakeUsage().Log(d.log)
			if total := d.gate.held.Load(); total > held {
				d.log.Log(eventColdHeld).Int64("attempts", total-held).Send()
				held = total
			}
		case <-d.ctx.Done():
			return
		}
	}
}

func newMetrics(d *Daemon) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "query_seconds", Help: "Time from a query's arrival to its answer.",
			// The buckets are dense around 130 ms, the bound on the 99th percentile.
			Buckets: []float64{.001, .0025, .005, .01, .02, .035, .05, .075, .1, .115, .13, .15, .2, .3, .5, 1, 2, 5, 10},
		}, []string{labelGroup}),
		coverage: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "query_coverage_ratio", Help: "Share of the pinned index snapshot's shards in an answer.",
			Buckets: []float64{0, .5, .8, .9, .95, .98, .99, .995, .999, 1},
		}, []string{labelGroup}),
		subRequests:   counter("sub_requests_total", "Sub-requests sent to targets, by kind: first, hedge or retry. Hedges and retries are the extra load.", labelGroup, labelKind),
		requestErrors: counter("request_errors_total", "Queries and orders answered with an error, by its code.", labelCode),
		orders:        counter("orders_total", "Orders answered, by verdict.", labelVerdict),
	}
	m.forwarded = counter("forward_requests_total", "Requests handled by the route plan, by kind (single or gather) and outcome: ok or the code of the failure.", labelKind, labelCode)
	m.forwardTime = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "forward_seconds", Help: "Time from a request's arrival to its successful answer, by kind.",
		Buckets: []float64{.005, .01, .02, .035, .05, .075, .1, .13, .2, .3, .4, .8, 2, 5},
	}, []string{labelKind})
	m.missing = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "forward_missing_shards_total", Help: "Shards left out of gathered answers."})
	m.registry.MustRegister(m.forwarded, m.forwardTime, m.missing)
	m.registry.MustRegister(engineStats(d)...)
	m.registry.MustRegister(intakeStats(d)...)
	m.registry.MustRegister(quotaStats(d)...)
	m.registry.MustRegister(m.latency, m.coverage, m.subRequests, m.requestErrors, m.orders,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), &stateCollector{d})
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// ObserveQuery implements entryrun.Observer.
func (m *metrics) ObserveQuery(group string, took time.Duration, a *query.Answer, err error) {
	if err != nil {
		m.requestErrors.WithLabelValues(string(verdict.CodeOf(err))).Inc()
		return
	}
	m.latency.WithLabelValues(group).Observe(took.Seconds())
	m.coverage.WithLabelValues(group).Observe(a.Coverage.Ratio())
	m.subRequests.WithLabelValues(group, "first").Add(float64(a.Attempts - a.Hedges - a.Retries))
	m.subRequests.WithLabelValues(group, "hedge").Add(float64(a.Hedges))
	m.subRequests.WithLabelValues(group, "retry").Add(float64(a.Retries))
}

// ObserveOrder implements entryrun.Observer.
func (m *metrics) ObserveOrder(v verdict.Verdict, err error) {
	m.orders.WithLabelValues(v.String()).Inc()
	if err != nil {
		m.requestErrors.WithLabelValues(string(verdict.CodeOf(err))).Inc()
	}
}

// stateCollector reads the state of the slices when it is scraped.
type stateCollector struct{ d *Daemon }

type gauge struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
}

func describe(kind prometheus.ValueType, name, help string, labels ...string) gauge {
	return gauge{prometheus.NewDesc(namespace+"_"+name, help, labels, nil), kind}
}

var (
	readyGauge       = describe(prometheus.GaugeValue, "ready", "1 if the load balancer should send work to this host.")
	revisionGauge    = describe(prometheus.GaugeValue, "config_revision", "Configuration revision in force at this host.")
	termGauge        = describe(prometheus.GaugeValue, "term", "Term of the latest confirmation of the configuration.")
	confirmedGauge   = describe(prometheus.GaugeValue, "config_age_seconds", "Age of the latest confirmation of the configuration.")
	suspendedTotal   = describe(prometheus.CounterValue, "suspended_seconds_total", "Time for which the machine was suspended since the process started, where a clock shows it.")
	leaderGauge      = describe(prometheus.GaugeValue, "leader", "1 if this host leads the replicated log.")
	accountsGauge    = describe(prometheus.GaugeValue, "accounts", "Client accounts of the route plan in force.")
	keysAgeGauge     = describe(prometheus.GaugeValue, "keys_confirmed_age_seconds", "Age of the latest confirmation that no newer route plan revokes a key.")
	targetsGauge     = describe(prometheus.GaugeValue, "targets", "Targets that are alive or draining.")
	inFlightGauge    = describe(prometheus.GaugeValue, "requests_in_progress", "Callers' requests in progress at this host.")
	openOrdersGauge  = describe(prometheus.GaugeValue, "orders_open", "Orders whose claim is not settled yet.")
	runningGauge     = describe(prometheus.GaugeValue, "admission_running", "Admitted queries in progress.", labelGroup)
	waitingGauge     = describe(prometheus.GaugeValue, "admission_waiting", "Queries that wait for admission.", labelGroup)
	limitGauge       = describe(prometheus.GaugeValue, "admission_limit", "Adaptive limit of the queries in progress.", labelGroup)
	ejectedGauge     = describe(prometheus.GaugeValue, "searchers_ejected", "Searchers that this host has ejected.", labelGroup)
	slotWaitGauge    = describe(prometheus.GaugeValue, "sub_requests_waiting", "Sub-requests that wait for a searcher's slot.", labelGroup)
	connectionsGauge = describe(prometheus.GaugeValue, "connections_open", "Connections to all targets.")
	shareGauge       = describe(prometheus.GaugeValue, "connections_share", "Connections to all targets that this host may hold.")
	dialsTotal       = describe(prometheus.CounterValue, "connection_dials_total", "Connections set up to targets.")
	lateTotal        = describe(prometheus.CounterValue, "late_replies_total", "Replies that arrived after their query had ended.")
	sentTotal        = describe(prometheus.CounterValue, "peer_messages_total", "Messages queued for other hosts.")
	droppedTotal     = describe(prometheus.CounterValue, "peer_messages_dropped_total", "Messages to other hosts that were dropped because the queue was full.")
	syncsTotal       = describe(prometheus.CounterValue, "journal_syncs_total", "Syncs of the journal.")
	kindWorkGauge    = describe(prometheus.GaugeValue, "forward_estimated_work_seconds", "Estimated time of an attempt without waiting, by route. Beyond 31 routes, the others count as one.", labelKind)
	kindAttempts     = describe(prometheus.CounterValue, "forward_estimated_attempts_total", "Successful attempts whose time was estimated when they began, by route.", labelKind)
	kindExpected     = describe(prometheus.CounterValue, "forward_expected_seconds_total", "Sum of the times that these attempts were expected to take, by route.", labelKind)
	kindTook         = describe(prometheus.CounterValue, "forward_took_seconds_total", "Sum of the times that these attempts took, by route.", labelKind)
	kindMissed       = describe(prometheus.CounterValue, "forward_misestimated_attempts_total", "Attempts that took more than twice or less than half of what was expected, by route.", labelKind)
	journalTotal     = describe(prometheus.CounterValue, "journal_written_bytes_total", "Bytes written to the journal.")
)

// Describe implements prometheus.Collector.
func (c *stateCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, g := range []gauge{
		readyGauge, revisionGauge, termGauge, confirmedGauge, leaderGauge, targetsGauge, inFlightGauge, openOrdersGauge,
		runningGauge, waitingGauge, limitGauge, ejectedGauge, slotWaitGauge, connectionsGauge, shareGauge, dialsTotal,
		lateTotal, sentTotal, droppedTotal, syncsTotal, journalTotal, suspendedTotal, accountsGauge, keysAgeGauge,
		kindWorkGauge, kindAttempts, kindExpected, kindTook, kindMissed,
	} {
		ch <- g.desc
	}
}

// Collect implements prometheus.Collector.
func (c *stateCollector) Collect(ch chan<- prometheus.Metric) {
	send := func(g gauge, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(g.desc, g.kind, v, labels...)
	}
	c.collectControl(send)
	c.collectTraffic(send)
	c.collectConnections(send)
	c.collectEstimates(send)
	if j := c.d.journal; j != nil {
		s := j.Stats()
		send(syncsTotal, float64(s.Syncs))
		send(journalTotal, float64(s.Bytes))
	}
}

type sendFunc func(g gauge, v float64, labels ...string)

func (c *stateCollector) collectControl(send sendFunc) {
	s := c.d.loop.Snapshot()
	send(readyGauge, boolValue(c.d.Ready()))
	send(revisionGauge, float64(s.Revision))
	send(termGauge, float64(s.Term))
	send(leaderGauge, boolValue(s.Leader.Name == c.d.settings.Host))
	send(targetsGauge, float64(s.Targets.Len()))
	if !s.ConfirmedAt.IsZero() {
		send(confirmedGauge, c.d.loop.Now().Sub(s.ConfirmedAt).Seconds())
	}
	if s.Plan != nil {
		send(accountsGauge, float64(s.Plan.Accounts.Len()))
	}
	if !s.PlanConfirmedAt.IsZero() {
		send(keysAgeGauge, c.d.loop.Now().Sub(s.PlanConfirmedAt).Seconds())
	}
	send(suspendedTotal, bootclock.Suspended().Seconds())
	links := c.d.links.Stats()
	send(sentTotal, float64(links.Sent))
	send(droppedTotal, float64(links.Dropped))
}

func (c *stateCollector) collectTraffic(send sendFunc) {
	send(inFlightGauge, float64(c.d.inFlight.Count()))
	send(openOrdersGauge, float64(c.d.orderRuns.Open()))
	send(lateTotal, float64(c.d.driver.Stats().LateReplies))
	admitted, _ := c.d.admission.Snapshot()
	for _, g := range admitted.Groups {
		send(runningGauge, float64(g.Running), g.Group)
		send(waitingGauge, float64(g.Waiting), g.Group)
		send(limitGauge, float64(g.Limit), g.Group)
	}
	now := time.Now()
	for _, g := range c.d.groups.Stats() {
		ejected := 0
		for _, s := range g.Searchers {
			if s.EjectedUntil.After(now) {
				ejected++
			}
		}
		send(ejectedGauge, float64(ejected), g.Group)
		send(slotWaitGauge, float64(g.Waiting), g.Group)
	}
}

func (c *stateCollector) collectConnections(send sendFunc) {
	open, share, dialed := 0, 0, uint64(0)
	for _, p := range c.d.pools.Stats() {
		open += p.Open
		share += p.Share
		dialed += p.Dialed
	}
	send(connectionsGauge, float64(open))
	send(shareGauge, float64(share))
	send(dialsTotal, float64(dialed))
}

// collectEstimates sends the estimates of the route plan's requests and their outcome.
func (c *stateCollector) collectEstimates(send sendFunc) {
	if c.d.engine == nil {
		return
	}
	for _, k := range c.d.engine.Estimates() {
		send(kindWorkGauge, k.Work.Seconds(), k.Kind)
		send(kindAttempts, float64(k.Attempts), k.Kind)
		send(kindExpected, k.Expected.Seconds(), k.Kind)
		send(kindTook, k.Took.Seconds(), k.Kind)
		send(kindMissed, float64(k.Missed), k.Kind)
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
