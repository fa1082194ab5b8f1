package poolrun

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// RoundTrip sends a request over a connection of the pool. While all
// connections of the share are in use, it waits, at most until the request's
// context ends. The response body must be closed.
func (p *Pool) RoundTrip(req *http.Request) (*http.Response, error) {
	if err := p.acquire(req.Context()); err != nil {
		if req.Body != nil {
			req.Body.Close()
		}
		return nil, err
	}
	resp, err := p.transport.RoundTrip(req)
	if err != nil {
		p.release()
		return nil, err
	}
	resp.Body = &releasingBody{ReadCloser: resp.Body, pool: p}
	return resp, nil
}

// releasingBody releases the request's permit when the body is closed.
type releasingBody struct {
	io.ReadCloser
	pool *Pool
	once sync.Once
}

func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.pool.release)
	return err
}

// acquire takes a permit for one request, waiting while the share is in use.
// Requests in progress never exceed the share, so the transport needs no more
// connections.
func (p *Pool) acquire(ctx context.Context) error {
	p.mu.Lock()
	if p.share == 0 {
		p.mu.Unlock()
		return p.noShare()
	}
	p.lastUse = time.Now()
	if p.inUse < p.share {
		p.inUse++
		p.dialSparesLocked()
		p.mu.Unlock()
		return nil
	}
	p.stats.Waits++
	w := &waiter{ready: make(chan struct{})}
	element := p.permitQueue.PushBack(w)
	p.mu.Unlock()

	select {
	case <-w.ready:
		return w.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-w.ready:
		if w.err != nil {
			return w.err
		}
		p.inUse--
		p.grantPermitsLocked()
	default:
		p.permitQueue.Remove(element)
	}
	return verdict.Wrap(ctx.Err(), verdict.NotRun, CodeShareBusy, "every connection of the share is in use")
}

func (p *Pool) release() {
	p.mu.Lock()
	p.inUse--
	p.grantPermitsLocked()
	surplus := p.takeSurplusSparesLocked()
	p.dialSparesLocked()
	p.mu.Unlock()
	p.closeSurplus(surplus)
}
