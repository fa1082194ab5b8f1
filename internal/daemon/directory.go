package daemon

import (
	"net/netip"
	"sync"
)

// directory maps host names to peer addresses. Traffic and control read it;
// the control snapshot keeps it current.
type directory struct {
	mu    sync.RWMutex
	fixed map[string]netip.AddrPort // from the settings
	live  map[string]netip.AddrPort // from membership
}

func newDirectory() *directory {
	return &directory{fixed: make(map[string]netip.AddrPort)}
}

// lookup prefers the address from membership, because a replaced host keeps its
// name and changes its address.
func (d *directory) lookup(host string) (netip.AddrPort, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if a, ok := d.live[host]; ok {
		return a, true
	}
	a, ok := d.fixed[host]
	return a, ok
}

func (d *directory) setLive(live map[string]netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.live = live
}
