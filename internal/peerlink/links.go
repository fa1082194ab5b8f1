// Package peerlink sends messages from this host to others. Each peer has a
// bounded queue and its own workers, so a slow or dead peer does not delay the
// messages to other peers. If the queue is full, the message is dropped: the
// control protocols resend messages that were not acknowledged.
package peerlink

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of one peer's link.
const (
	queueLength    = 512
	workersPerPeer = 4
	callTimeout    = 2 * time.Second
	// dialTimeout is short because a host without power does not answer and every
	// worker of its link waits for it. The round trip time is 40 ms at most.
	dialTimeout = 300 * time.Millisecond
	// maxSilence is how long a peer may leave bytes unacknowledged. It covers two lost
	// packets in a row. Connections may go silent without a reset while new ones work;
	// until then a worker and the messages behind it wait on each of them.
	maxSilence      = time.Second
	idleConnTimeout = 30 * time.Second
	// idleLinkTimeout is how long a link without messages is kept.
	idleLinkTimeout = time.Minute
	// maxResponseHead and maxResponseBody bound a response in bytes. The largest one
	// carries the whole configuration. A process that took over the address of a
	// host may send anything.
	maxResponseHead = 64 << 10
	maxResponseBody = 32 << 20
)

// Call sends one message to a peer. baseURL is the peer's address.
type Call func(ctx context.Context, client *http.Client, baseURL string)

// Links holds the links to all peers. It is safe for concurrent use.
type Links struct {
	client  *http.Client
	ctx     context.Context
	stop    context.CancelFunc
	workers sync.WaitGroup
	dropped atomic.Int64
	sent    atomic.Int64

	mu    sync.Mutex
	links map[netip.AddrPort]*link
}

type link struct {
	queue chan Call
}

// New returns links without peers.
func New() *Links {
	ctx, stop := context.WithCancel(context.Background())
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout, Control: limitSilence}).DialContext,
		MaxIdleConnsPerHost:    workersPerPeer,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHead,
	}
	return &Links{client: &http.Client{Transport: peerTransport{transport}}, ctx: ctx, stop: stop, links: make(map[netip.AddrPort]*link)}
}

// Client returns the HTTP client that all links share, for calls that wait for
// the reply.
func (l *Links) Client() *http.Client { return l.client }

// BaseURL returns the URL prefix of a peer's services.
func BaseURL(address netip.AddrPort) string { return "http://" + address.String() }

// Send queues a call to the peer at address. It returns false if the message was
// dropped.
func (l *Links) Send(address netip.AddrPort, call Call) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return false
	}
	k := l.links[address]
	if k == nil {
		k = &link{queue: make(chan Call, queueLength)}
		l.links[address] = k
		for range workersPerPeer {
			l.workers.Add(1)
			go l.work(address, k)
		}
	}
	select {
	case k.queue <- call:
		l.sent.Add(1)
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// work runs the calls of one link until the link is retired or the links are
// closed.
func (l *Links) work(address netip.AddrPort, k *link) {
	defer l.workers.Done()
	idle := time.NewTimer(idleLinkTimeout)
	defer idle.Stop()
	for {
		select {
		case call := <-k.queue:
			l.run(address, call)
			idle.Reset(idleLinkTimeout)
		case <-idle.C:
			if l.retire(address, k) {
				return
			}
			idle.Reset(idleLinkTimeout)
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *Links) run(address netip.AddrPort, call Call) {
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	call(ctx, l.client, BaseURL(address))
}

// retire removes an idle link and reports whether its worker can exit. Once the
// link is out of the map, nothing more is queued on it.
func (l *Links) retire(address netip.AddrPort, k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(k.queue) > 0 {
		return false
	}
	if l.links[address] == k {
		delete(l.links, address)
	}
	return true
}

// Stats holds totals since the start and the number of links.
type Stats struct {
	Sent    int64
	Dropped int64
	Peers   int
}

// Stats returns the current statistics.
func (l *Links) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Sent: l.sent.Load(), Dropped: l.dropped.Load(), Peers: len(l.links)}
}

// Close cancels the calls in progress and waits for the workers.
func (l *Links) Close() {
	l.mu.Lock()
	l.stop()
	l.mu.Unlock()
	l.workers.Wait()
	l.client.CloseIdleConnections()
}
