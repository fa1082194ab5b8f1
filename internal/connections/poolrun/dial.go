package poolrun

import (
	"container/list"
	"context"
	"net"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// dialContext is the transport's dialer. It returns a spare connection, or
// dials one if the share allows. The transport detaches ctx from the request,
// so a wait is limited by the dial timeout.
func (p *Pool) dialContext(ctx context.Context, network, address string) (net.Conn, error) {
	for {
		p.mu.Lock()
		if p.share == 0 {
			p.mu.Unlock()
			return nil, p.noShare()
		}
		if c := p.popSpareLocked(); c != nil {
			p.mu.Unlock()
			if c.alive() {
				p.countHanded()
				return c, nil
			}
			c.Close()
			continue
		}
		break
	}
	// If a spare dial without a waiter is in progress, wait for it: it started
	// earlier than a new dial, so its connection is ready sooner.
	if p.open < p.share && p.spareDials <= p.slotQueue.Len() {
		p.open++
		p.mu.Unlock()
		return p.dial(ctx, network, address)
	}
	w := &waiter{ready: make(chan struct{})}
	element := p.slotQueue.PushBack(w)
	p.mu.Unlock()

	if err := p.awaitSlot(ctx, w, element); err != nil {
		return nil, err
	}
	if w.conn != nil {
		return w.conn, nil
	}
	return p.dial(ctx, network, address)
}

func (p *Pool) awaitSlot(ctx context.Context, w *waiter, element *list.Element) error {
	timer := time.NewTimer(p.cfg.DialTimeout)
	defer timer.Stop()
	select {
	case <-w.ready:
		return w.err
	case <-ctx.Done():
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-w.ready:
		return w.err
	default:
		p.slotQueue.Remove(element)
		return verdict.New(verdict.NotRun, CodeShareBusy, "none of this host's %d connections to %s became free", p.share, p.address)
	}
}

func (p *Pool) popSpareLocked() *Conn {
	n := len(p.spares)
	if n == 0 {
		return nil
	}
	c := p.spares[n-1] // the newest is the least likely to have been closed by the target
	p.spares = p.spares[:n-1]
	return c
}

func (p *Pool) countHanded() {
	p.mu.Lock()
	p.stats.Handed++
	p.mu.Unlock()
}

// dial opens a connection in a slot that is already counted in open.
func (p *Pool) dial(ctx context.Context, network, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	start := time.Now()
	raw, err := p.cfg.Dial(ctx, network, address)
	took := time.Since(start)
	if err != nil {
		p.dialFailed(err)
		return nil, verdict.Wrap(err, verdict.NotRun, CodeDial, "connect to target")
	}
	c := &Conn{Conn: raw, pool: p, openedAt: start.Add(took)}
	if !p.dialed(took) {
		c.Close()
		return nil, verdict.New(verdict.NotRun, CodeNoShare, "the share of connections to %s shrank during set-up", p.address)
	}
	return c, nil
}

// dialed records a successful dial and reports whether the share still has room for the
// connection.
func (p *Pool) dialed(took time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Dialed++
	p.stats.SetupTotal += took
	p.stats.SetupMax = max(p.stats.SetupMax, took)
	p.backoff = 0
	return p.open-p.settling <= p.share
}

func (p *Pool) dialFailed(err error) {
	p.mu.Lock()
	p.stats.DialFailures++
	now := time.Now()
	report := now.After(p.backoffUntil)
	p.backoff = min(max(2*p.backoff, dialBackoffMin), dialBackoffMax)
	p.backoffUntil = now.Add(p.backoff)
	p.freeSlotLocked()
	empty := p.open == 0 && p.share == 0
	p.mu.Unlock()
	if report {
		p.log.Log(eventDialFailed).Stringer("target_address", p.address).Err(err).Send()
	}
	if empty && p.onEmpty != nil {
		p.onEmpty()
	}
}

// dialSparesLocked dials spare connections up to the configured number, within
// the share and unless the pool is backing off. A pool that has been unused for
// the idle timeout dials none, so its spares expire.
func (p *Pool) dialSparesLocked() {
	now := time.Now()
	if now.Before(p.backoffUntil) || now.Sub(p.lastUse) >= p.cfg.IdleTimeout {
		return
	}
	unused := p.open - p.settling - p.inUse
	n := min(p.cfg.Spare-unused, p.share-p.open)
	for range n {
		p.open++
		p.spareDials++
		go p.dialSpare()
	}
}

func (p *Pool) dialSpare() {
	c, err := p.dial(context.Background(), "tcp", p.address.String())
	p.mu.Lock()
	p.spareDials--
	if err != nil {
		// A request that arrived after dialFailed freed the slot may wait for this
		// dial.
		p.grantSlotsLocked()
		p.mu.Unlock()
		return
	}
	if p.slotQueue.Len() > 0 {
		p.stats.Handed++
		p.wakeLocked(&p.slotQueue, c, nil)
		p.mu.Unlock()
		return
	}
	p.spares = append(p.spares, c)
	surplus := p.takeSurplusSparesLocked()
	p.armSpareTimerLocked()
	p.mu.Unlock()
	p.closeSurplus(surplus)
}

func (p *Pool) armSpareTimerLocked() {
	if len(p.spares) == 0 {
		return
	}
	wait := time.Until(p.spares[0].openedAt.Add(p.cfg.IdleTimeout))
	if p.spareTimer == nil {
		p.spareTimer = time.AfterFunc(wait, p.expireSpares)
		return
	}
	p.spareTimer.Reset(wait)
}

func (p *Pool) expireSpares() {
	now := time.Now()
	p.mu.Lock()
	n := 0
	for n < len(p.spares) && now.Sub(p.spares[n].openedAt) >= p.cfg.IdleTimeout {
		n++
	}
	expired := p.spares[:n:n]
	p.spares = p.spares[n:]
	p.armSpareTimerLocked()
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}
