package poolrun

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

// Pools holds one pool per target address.
type Pools struct {
	cfg Config
	log *eventlog.Logger

	mu    sync.RWMutex
	pools map[netip.AddrPort]*Pool
}

// NewPools returns an empty set of pools that share cfg.
func NewPools(cfg Config, log *eventlog.Logger) *Pools {
	return &Pools{cfg: cfg, log: log, pools: make(map[netip.AddrPort]*Pool)}
}

// SetShare sets how many connections this host may hold to the target at
// address. A removed target gets share 0, and its pool is removed when its last
// connection is closed.
func (s *Pools) SetShare(address netip.AddrPort, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[address]
	if p == nil {
		if n <= 0 {
			return
		}
		p = New(address, s.cfg, s.log)
		p.onEmpty = func() { s.removeEmpty(address) }
		s.pools[address] = p
	}
	p.SetShare(n)
	s.removeEmptyLocked(address)
}

func (s *Pools) removeEmpty(address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeEmptyLocked(address)
}

func (s *Pools) removeEmptyLocked(address netip.AddrPort) {
	p := s.pools[address]
	if p == nil {
		return
	}
	if st := p.Stats(); st.Share == 0 && st.Open == 0 {
		delete(s.pools, address)
	}
}

// RoundTripper returns the pool of the target at address.
func (s *Pools) RoundTripper(address netip.AddrPort) (http.RoundTripper, error) {
	s.mu.RLock()
	p := s.pools[address]
	s.mu.RUnlock()
	if p == nil {
		return nil, (&Pool{address: address}).noShare()
	}
	return p, nil
}

// AwaitWithinShares waits until no pool holds more connections than its
// share. Only then may the host acknowledge a new member list.
func (s *Pools) AwaitWithinShares(ctx context.Context) error {
	for _, p := range s.all() {
		if err := p.AwaitWithinShare(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Stats returns the statistics of all pools, sorted by address.
func (s *Pools) Stats() []Stats {
	var out []Stats
	for _, p := range s.all() {
		out = append(out, p.Stats())
	}
	slices.SortFunc(out, func(a, b Stats) int { return a.Address.Compare(b.Address) })
	return out
}

// Close sets every share to zero and waits until all connections are closed.
func (s *Pools) Close(ctx context.Context) error {
	for _, p := range s.all() {
		p.SetShare(0)
	}
	return s.AwaitWithinShares(ctx)
}

func (s *Pools) all() []*Pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]*Pool, 0, len(s.pools))
	for _, p := range s.pools {
		out = append(out, p)
	}
	return out
}
