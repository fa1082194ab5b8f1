package daemon

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/hawthornlock/hawthornlock/internal/admission"
	"github.com/hawthornlock/hawthornlock/internal/config/confighttp"
	"github.com/hawthornlock/hawthornlock/internal/connections/poolrun"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/entry/entryrun"
	"github.com/hawthornlock/hawthornlock/internal/journal"
	"github.com/hawthornlock/hawthornlock/internal/peerlink"
	"github.com/hawthornlock/hawthornlock/internal/query/queryrun"
)

func (d *Daemon) adminRouter() http.Handler {
	r := mux.NewRouter()
	r.NotFoundHandler = http.HandlerFunc(confighttp.NotFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(confighttp.MethodNotAllowed)
	r.Handle("/metrics", promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }).Methods(http.MethodGet)
	r.HandleFunc("/readyz", d.readyz).Methods(http.MethodGet)
	r.HandleFunc("/debug/state", d.debugState).Methods(http.MethodGet)
	r.PathPrefix("/v1/admin/").Handler(confighttp.New(confighttp.Options{Backend: backend{d}, Routes: backend{d}, Tokens: d.tokens, Log: d.log}))
	return r
}

// metricsRouter serves the metrics alone, to whoever reaches the listener.
func (d *Daemon) metricsRouter() http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	return r
}

// readyz tells the load balancer whether this host takes new work.
func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	s := d.loop.Snapshot()
	if err := s.Gate.Check(d.loop.Now()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if !s.Ready {
		http.Error(w, "this host is about to refuse new work", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stateDump is the state of this process by slice.
type stateDump struct {
	Host        string
	Control     control.Dump
	Connections []poolrun.Stats
	Links       peerlink.Stats
	Queries     queryrun.Stats
	Admission   admission.Stats
	Groups      []entryrun.GroupStats
	OpenOrders  int
	Journal     *journal.Stats `json:",omitempty"`
}

func (d *Daemon) debugState(w http.ResponseWriter, r *http.Request) {
	result, err := d.loop.Call(r.Context(), func(token uint64) control.Event { return control.Inspect{Token: token} })
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	dump := stateDump{
		Host: d.settings.Host, Control: result.(control.Dump), Connections: d.pools.Stats(),
		Links: d.links.Stats(), Queries: d.driver.Stats(), Groups: d.groups.Stats(), OpenOrders: d.orderRuns.Open(),
	}
	dump.Admission, _ = d.admission.Snapshot()
	if d.journal != nil {
		s := d.journal.Stats()
		dump.Journal = &s
	}
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	// An error here means that the reader has gone.
	_ = e.Encode(dump)
}
