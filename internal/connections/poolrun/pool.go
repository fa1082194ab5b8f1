// Package poolrun pools this host's connections to each target. A pool never
// holds more than the host's share, opens spare connections in advance, and
// closes idle ones.
package poolrun

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Codes of the errors of this package. All carry the verdict not_run.
const (
	CodeNoShare   verdict.Code = "no_connection_share"   // this host may hold no connection to the target
	CodeShareBusy verdict.Code = "connection_share_busy" // every connection of the share stayed in use
	CodeDial      verdict.Code = "connection_failed"     // the connection could not be set up
)

// Defaults of Config.
const (
	DefaultSpare       = 1
	DefaultIdleTimeout = 10 * time.Second
	DefaultDialTimeout = time.Second
	DefaultCloseSettle = 2 * time.Millisecond
)

const (
	dialBackoffMin         = 20 * time.Millisecond
	dialBackoffMax         = 2 * time.Second
	maxResponseHeaderBytes = 64 << 10
	maxIdlePerTarget       = 1 << 20 // the share is the only limit
)

// DialFunc opens a connection to a target.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config holds the settings of a pool. Zero fields take the defaults. A
// negative Spare means none.
type Config struct {
	Spare       int           // connections to keep open beyond those in use
	IdleTimeout time.Duration // a connection unused for longer is closed
	DialTimeout time.Duration
	// CloseSettle is how long a closed connection keeps its slot. The target
	// learns of a close one network latency later. If the slot were free at once,
	// the target would see one connection more than the share.
	CloseSettle time.Duration
	Dial        DialFunc // net.Dialer by default
}

func (c Config) withDefaults() Config {
	if c.Spare == 0 {
		c.Spare = DefaultSpare
	}
	c.Spare = max(c.Spare, 0)
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.DialTimeout <= 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.CloseSettle <= 0 {
		c.CloseSettle = DefaultCloseSettle
	}
	if c.Dial == nil {
		var d net.Dialer
		c.Dial = d.DialContext
	}
	return c
}

// Stats describes a pool's connections and their set-up times.
type Stats struct {
	Address      netip.AddrPort
	Share        int
	Open         int // connections being set up, open, or closed less than CloseSettle ago
	InUse        int // requests that hold a permit for a connection
	Spare        int // open connections that have carried no request yet
	Waiting      int // requests that wait for a connection
	Dialed       uint64
	DialFailures uint64
	Waits        uint64 // requests that had to wait
	Handed       uint64 // spare connections that were handed to requests
	SetupTotal   time.Duration
	SetupMax     time.Duration
}

// Pool holds the connections to one target and is the http.RoundTripper for
// it. It is safe for concurrent use.
type Pool struct {
	address   netip.AddrPort
	cfg       Config
	log       *eventlog.Logger
	transport *http.Transport
	onEmpty   func() // called without mu when the last connection of a pool with share 0 is closed

	mu           sync.Mutex
	share        int
	open         int // slots in use, including settling
	settling     int
	inUse        int
	spareDials   int // dials of spare connections in progress
	spares       []*Conn
	permitQueue  list.List // of *waiter: requests that wait for a permit
	slotQueue    list.List // of *waiter: dials of the transport that wait for a slot
	lastUse      time.Time
	backoff      time.Duration
	backoffUntil time.Time
	spareTimer   *time.Timer
	withinShare  chan struct{} // closed once open <= share; nil without waiters
	stats        Stats
}

// waiter is a request that waits for a permit or a dial that waits for a slot.
// conn and err are set before ready is closed.
type waiter struct {
	ready chan struct{}
	conn  *Conn // an open connection, or nil if a slot was granted
	err   error
}

// New returns a pool with share 0, which refuses every request.
func New(address netip.AddrPort, cfg Config, log *eventlog.Logger) *Pool {
	p := &Pool{address: address, cfg: cfg.withDefaults(), log: log}
	p.transport = &http.Transport{
		DialContext:            p.dialContext,
		DisableCompression:     true,
		IdleConnTimeout:        p.cfg.IdleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerTarget,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		Protocols:              new(http.Protocols),
	}
	p.transport.Protocols.SetHTTP1(true)
	return p
}

// SetShare changes how many connections the pool may hold. Idle connections
// above a smaller share are closed at once, connections in use when their
// requests end.
func (p *Pool) SetShare(n int) {
	n = max(n, 0)
	p.mu.Lock()
	if n == p.share {
		p.mu.Unlock()
		return
	}
	old := p.share
	p.share = n
	if n > old {
		p.lastUse = time.Now()
	}
	surplus := p.takeSurplusSparesLocked()
	if n == 0 {
		p.failWaitersLocked()
	}
	p.grantPermitsLocked()
	p.grantSlotsLocked()
	p.dialSparesLocked()
	p.mu.Unlock()

	p.log.Log(eventShareChanged).Stringer("target_address", p.address).Int("old", old).Int("new", n).Send()
	p.closeSurplus(surplus)
	p.mu.Lock()
	over := p.open - p.settling - n
	p.mu.Unlock()
	if over > 0 {
		p.log.Log(eventOverShare).Stringer("target_address", p.address).Int("over", over).Int("share", n).Send()
	}
}

// Stats returns the pool's current statistics.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Address = p.address
	s.Share = p.share
	s.Open = p.open
	s.InUse = p.inUse
	s.Spare = len(p.spares)
	s.Waiting = p.permitQueue.Len()
	return s
}

// AwaitWithinShare waits until the pool holds no more connections than its
// share.
func (p *Pool) AwaitWithinShare(ctx context.Context) error {
	for {
		p.mu.Lock()
		if p.open <= p.share {
			p.mu.Unlock()
			return nil
		}
		if p.withinShare == nil {
			p.withinShare = make(chan struct{})
		}
		ch := p.withinShare
		p.mu.Unlock()
		select {
		case <-ch:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// takeSurplusSparesLocked removes and returns spare connections above the
// share. They must be closed without holding mu.
func (p *Pool) takeSurplusSparesLocked() []*Conn {
	over := p.open - p.settling - p.share
	n := min(max(over, 0), len(p.spares))
	surplus := p.spares[:n:n]
	p.spares = p.spares[n:]
	return surplus
}

func (p *Pool) closeSurplus(spares []*Conn) {
	for _, c := range spares {
		c.Close()
	}
	p.mu.Lock()
	over := p.open-p.settling > p.share
	p.mu.Unlock()
	if over {
		p.transport.CloseIdleConnections()
	}
}

// connClosed counts a closed connection as settling. It frees the slot after
// CloseSettle, when the target must have seen the close.
func (p *Pool) connClosed() {
	p.mu.Lock()
	p.settling++
	p.mu.Unlock()
	time.AfterFunc(p.cfg.CloseSettle, func() {
		p.mu.Lock()
		p.settling--
		p.freeSlotLocked()
		empty := p.open == 0 && p.share == 0
		p.mu.Unlock()
		if empty && p.onEmpty != nil {
			p.onEmpty()
		}
	})
}

func (p *Pool) freeSlotLocked() {
	p.open--
	if p.open <= p.share && p.withinShare != nil {
		close(p.withinShare)
		p.withinShare = nil
	}
	p.grantSlotsLocked()
	p.dialSparesLocked()
}

func (p *Pool) grantSlotsLocked() {
	for p.open < p.share && p.slotQueue.Len() > 0 {
		p.open++
		p.wakeLocked(&p.slotQueue, nil, nil)
	}
}

func (p *Pool) grantPermitsLocked() {
	for p.inUse < p.share && p.permitQueue.Len() > 0 {
		p.inUse++
		p.wakeLocked(&p.permitQueue, nil, nil)
	}
}

func (p *Pool) failWaitersLocked() {
	for p.permitQueue.Len() > 0 {
		p.wakeLocked(&p.permitQueue, nil, p.noShare())
	}
	for p.slotQueue.Len() > 0 {
		p.wakeLocked(&p.slotQueue, nil, p.noShare())
	}
}

func (p *Pool) wakeLocked(queue *list.List, conn *Conn, err error) {
	w := queue.Remove(queue.Front()).(*waiter)
	w.conn = conn
	w.err = err
	close(w.ready)
}

func (p *Pool) noShare() error {
	return verdict.New(verdict.NotRun, CodeNoShare, "this host's share of connections to %s is zero", p.address)
}
