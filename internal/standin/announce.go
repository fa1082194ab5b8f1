package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// AnnounceInterval is the time between two announcements of a target.
const AnnounceInterval = time.Second

// Announcer sends a target's announcements to the hosts in turn, as a load
// balancer in front of the hosts would.
type Announcer struct {
	target *Target
	hosts  []string // IP address and port of each host's target listener
	client *http.Client
	next   int
}

// NewAnnouncer returns an announcer for t.
func NewAnnouncer(t *Target, hosts []string) *Announcer {
	return &Announcer{target: t, hosts: slices.Clone(hosts), client: &http.Client{Timeout: AnnounceInterval}}
}

// Announce sends one announcement to the next host.
func (a *Announcer) Announce(ctx context.Context) error {
	host := a.hosts[a.next%len(a.hosts)]
	a.next++
	body, err := json.Marshal(a.target.announcement())
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build announcement")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "announce to host %s", host)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if resp.StatusCode != http.StatusNoContent {
		return errors.Newf("host %s rejected the announcement with status %d: %s", host, resp.StatusCode, text)
	}
	return nil
}

// Run announces at once and then every AnnounceInterval until ctx is done.
// Errors are ignored, as the next announcement replaces a failed one.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(AnnounceInterval)
	defer ticker.Stop()
	for {
		_ = a.Announce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (t *Target) announcement() announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	m := announcement{
		Target: t.cfg.Name, Incarnation: t.incarnation, Seq: t.seq, Address: t.Address(),
		FailureDomain: t.cfg.FailureDomain, Labels: t.cfg.Labels, ConnectionLimit: t.cfg.ConnectionLimit,
		State: t.phase(), Reported: t.reported(),
	}
	for _, cfg := range t.cfg.Searchers {
		m.Searchers = append(m.Searchers, t.searchers[cfg.Name].message(cfg.Slots))
	}
	for _, s := range t.snapshots {
		m.IndexSnapshots = append(m.IndexSnapshots, snapshotMessage{IndexSnapshot: s.Name, Layout: s.Data.Layout(), Generation: s.Generation})
	}
	return m
}

func (t *Target) phase() string {
	switch {
	case t.draining:
		return "draining"
	case time.Since(t.started) < t.cfg.ColdFor:
		return "cold"
	default:
		return "ready"
	}
}

func (t *Target) reported() reportedMessage {
	if t.misreport != nil {
		return *t.misreport
	}
	busy, slots := 0, 0
	for _, s := range t.searchers {
		busy += len(s.slots)
		slots += cap(s.slots)
	}
	return reportedMessage{Healthy: true, Load: float64(busy) / float64(max(1, slots))}
}

func (s *searcher) message(slots int) searcherMessage {
	m := searcherMessage{Searcher: s.name, Slots: slots}
	for snapshot, shards := range s.holds {
		m.Holds = append(m.Holds, holdingMessage{IndexSnapshot: snapshot, Shards: shards})
	}
	slices.SortFunc(m.Holds, func(a, b holdingMessage) int { return bytes.Compare([]byte(a.IndexSnapshot), []byte(b.IndexSnapshot)) })
	return m
}
