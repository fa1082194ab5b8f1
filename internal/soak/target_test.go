package soak

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ledger is what the targets saw of each request.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int // by request ID and service
}

func (l *ledger) ran(id, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id+" "+service]++
}

func (l *ledger) count(id, service string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id+" "+service]
}

// target is a searcher of one service behind a proxy.
type target struct {
	id, service string
	born        int64
	server      *httptest.Server
	proxy       *proxy
	stop        chan struct{}
	stopOnce    sync.Once
}

// records are the records of a service's answer to a request.
func records(service, id string, n int) []string {
	var out []string
	for i := range n {
		h := fnv.New64a()
		fmt.Fprintf(h, "%s %s %d", service, id, i)
		out = append(out, fmt.Sprintf("%016x", h.Sum64()))
	}
	return out
}

// recordsPerPart is the number of records in an answer of one shard.
const recordsPerPart = 6

func signature(service, id string) string { return service + "." + id }

func (w *world) startTarget(t *testing.T, service string) *target {
	w.nextTarget++
	x := &target{id: fmt.Sprintf("i-%s-%d", service, w.nextTarget), service: service, born: time.Now().UnixMilli(), stop: make(chan struct{})}
	x.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		rw.Header().Set("X-Request-Id", id)
		if r.Header.Get("X-Expected-Instance") != x.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.ledger.ran(id, service)
		time.Sleep(time.Duration(1+rand.IntN(8)) * time.Millisecond)
		rw.Header().Set("X-Response-Signature", signature(service, id))
		fmt.Fprint(rw, strings.Join(records(service, id, recordsPerPart), ""))
	}))
	x.proxy = startProxy(t, x.server.Listener.Addr().String())
	go w.beat(x)
	t.Cleanup(x.kill)
	return x
}

// kill ends a target without a word.
func (x *target) kill() {
	x.stopOnce.Do(func() {
		close(x.stop)
		x.server.CloseClientConnections()
		go x.server.Close()
		x.proxy.close()
	})
}

// beat announces a target to hosts in turn until it ends.
func (w *world) beat(x *target) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for sequence := 1; ; sequence++ {
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z%d","concurrency":4,"state":"ready","warmup_left_ms":0,"sequence":%d,"born":%d}`,
			x.service, x.proxy.ln.Addr(), w.nextZone(), sequence, x.born)
		for try := range len(w.hosts) {
			h := w.hosts[(sequence+try)%len(w.hosts)]
			r, err := http.NewRequest(http.MethodPut, "http://"+h.address("control")+"/hawthornlock/instances/"+x.id, strings.NewReader(body))
			if err != nil {
				return
			}
			resp, err := client.Do(r)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
		}
		select {
		case <-x.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (w *world) nextZone() int { return len(w.hosts) % 2 }

// freePorts returns ports that are free on a loopback address.
func freePorts(t *testing.T, ip string, n int) []int {
	var out []int
	var held []net.Listener
	for range n {
		ln, err := net.Listen("tcp", ip+":0")
		require.NoError(t, err)
		held = append(held, ln)
		out = append(out, ln.Addr().(*net.TCPAddr).Port)
	}
	for _, ln := range held {
		require.NoError(t, ln.Close())
	}
	return out
}
