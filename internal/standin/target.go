package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// maxBodyBytes limits the size of request and response bodies.
const maxBodyBytes = 1 << 20

// Searcher configures one searcher of a target.
type Searcher struct {
	Name  string
	Slots int
	Holds map[string][]string // shards by index snapshot
}

// Snapshot is an index snapshot that a target serves.
type Snapshot struct {
	Name       string
	Generation uint64
	Data       *Dataset
}

// Config describes a target.
type Config struct {
	Name            string
	FailureDomain   string
	Labels          map[string]string
	ConnectionLimit int
	ConnectionSetup time.Duration // delay before a new connection is served
	Searchers       []Searcher
	Snapshots       []Snapshot
	ServiceTime     time.Duration // time that a search occupies a slot
	StragglerShare  float64       // share of searches that straggle, 0 to 1
	StragglerFactor float64       // how many times longer a straggler takes
	QueueLength     int           // searches of a searcher that may wait for a slot; more are shed
	ColdFor         time.Duration // time after start in which searches take ColdFactor longer
	ColdFactor      float64
	Seed            uint64
}

// Target is a running stand-in target.
type Target struct {
	cfg         Config
	listener    *limitListener
	server      *http.Server
	started     time.Time
	incarnation uint64

	mu         sync.Mutex
	rng        *rand.Rand
	snapshots  []Snapshot
	searchers  map[string]*searcher
	draining   bool
	misreport  *reportedMessage
	seq        uint64
	dropOrders bool
	arrivals   map[string]int // orders by request ID
	searches   int
	cancelled  int
	shed       int
}

type searcher struct {
	name    string
	slots   chan struct{}
	waiting int
	holds   map[string][]string
}

// Start starts a target on a free loopback port.
func Start(cfg Config) (*Target, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the stand-in target")
	}
	t := &Target{
		cfg:         cfg,
		listener:    newLimitListener(ln, cfg.ConnectionLimit, cfg.ConnectionSetup),
		started:     time.Now(),
		incarnation: uint64(time.Now().UnixNano()),
		rng:         rand.New(rand.NewPCG(cfg.Seed, 1)),
		snapshots:   slices.Clone(cfg.Snapshots),
		searchers:   make(map[string]*searcher, len(cfg.Searchers)),
		arrivals:    make(map[string]int),
	}
	for _, s := range cfg.Searchers {
		t.searchers[s.Name] = &searcher{name: s.Name, slots: make(chan struct{}, s.Slots), holds: cloneHolds(s.Holds)}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search", t.handleSearch)
	mux.HandleFunc("POST /v1/order", t.handleOrder)
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = t.server.Serve(t.listener) }()
	return t, nil
}

// Address returns the target's IP address and port.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Name returns the target's name.
func (t *Target) Name() string { return t.cfg.Name }

// Close stops the target at once, as a crash does.
func (t *Target) Close() error { return t.server.Close() }

// Drain makes the target announce that it is draining and refuse new work.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// Misreport fixes the health and load that the target reports.
func (t *Target) Misreport(healthy bool, load float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.misreport = &reportedMessage{Healthy: healthy, Load: load}
}

// DropOrders sets whether the target counts orders and closes their connections
// without a reply.
func (t *Target) DropOrders(drop bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropOrders = drop
}

// SetSnapshots replaces the index snapshots and the shards that each searcher
// holds. Searches of a removed snapshot are refused with "snapshot_gone".
func (t *Target) SetSnapshots(snapshots []Snapshot, holds map[string]map[string][]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.snapshots = slices.Clone(snapshots)
	for name, s := range t.searchers {
		s.holds = cloneHolds(holds[name])
	}
}

// Counts are totals since the target started.
type Counts struct {
	Searches       int
	Cancelled      int
	Shed           int
	MaxConnections int
}

// Counts returns the target's totals.
func (t *Target) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Counts{Searches: t.searches, Cancelled: t.cancelled, Shed: t.shed, MaxConnections: t.listener.maxOpen()}
}

// OrderArrivals returns how often an order with this request ID arrived.
func (t *Target) OrderArrivals(requestID string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.arrivals[requestID]
}

func (t *Target) handleSearch(w http.ResponseWriter, r *http.Request) {
	var m searchMessage
	if !readJSON(w, r, &m) {
		return
	}
	s, data, reason := t.accept(m)
	if reason != "" {
		refuse(w, reason)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(m.DeadlineMS)*time.Millisecond)
	defer cancel()
	if !t.acquireSlot(ctx, s) {
		refuse(w, "shed")
		return
	}
	defer func() { <-s.slots }()
	if !wait(ctx, t.serviceTime()) {
		t.count(&t.cancelled)
		http.Error(w, "cancelled", http.StatusGatewayTimeout)
		return
	}
	matches, _ := data.SearchShard(m.Shard, m.Terms, m.K)
	reply := searchReply{RequestID: m.RequestID, Attempt: m.Attempt, IndexSnapshot: m.IndexSnapshot, Shard: m.Shard}
	for _, x := range matches {
		reply.Hits = append(reply.Hits, hitMessage(x))
	}
	t.mu.Lock()
	reply.Draining = t.draining
	t.mu.Unlock()
	writeJSON(w, http.StatusOK, reply)
}

// accept returns the searcher and the dataset of a search, or the reason why the
// search is refused.
func (t *Target) accept(m searchMessage) (*searcher, *Dataset, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.searches++
	s := t.searchers[m.Searcher]
	switch {
	case t.draining:
		return nil, nil, "draining"
	case s == nil:
		return nil, nil, "unknown_searcher"
	case !slices.Contains(s.holds[m.IndexSnapshot], m.Shard):
		return nil, nil, "snapshot_gone"
	}
	for _, snap := range t.snapshots {
		if snap.Name == m.IndexSnapshot {
			return s, snap.Data, ""
		}
	}
	return nil, nil, "snapshot_gone"
}

// acquireSlot waits for a slot. It returns false if the queue is full, the
// deadline has passed or the client has gone.
func (t *Target) acquireSlot(ctx context.Context, s *searcher) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	t.mu.Lock()
	if s.waiting >= t.cfg.QueueLength {
		t.shed++
		t.mu.Unlock()
		return false
	}
	s.waiting++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		s.waiting--
		t.mu.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) serviceTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := float64(t.cfg.ServiceTime)
	if t.rng.Float64() < t.cfg.StragglerShare {
		d *= t.cfg.StragglerFactor
	}
	if time.Since(t.started) < t.cfg.ColdFor {
		d *= t.cfg.ColdFactor
	}
	return time.Duration(d)
}

func (t *Target) handleOrder(w http.ResponseWriter, r *http.Request) {
	var m orderMessage
	if !readJSON(w, r, &m) {
		return
	}
	t.mu.Lock()
	if t.draining {
		t.mu.Unlock()
		refuse(w, "draining")
		return
	}
	t.arrivals[m.RequestID]++
	drop := t.dropOrders
	t.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, orderReply{RequestID: m.RequestID, Result: fmt.Sprintf("%s accepted by %s", m.Body, t.cfg.Name)})
}

func (t *Target) count(n *int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*n++
}

func cloneHolds(holds map[string][]string) map[string][]string {
	out := make(map[string][]string, len(holds))
	for k, v := range holds {
		out[k] = slices.Clone(v)
	}
	return out
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		refuse(w, "malformed")
		return false
	}
	return true
}

func refuse(w http.ResponseWriter, reason string) {
	status := http.StatusServiceUnavailable
	if reason == "snapshot_gone" {
		status = http.StatusConflict
	}
	writeJSON(w, status, refusal{NotRun: true, Reason: reason})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
