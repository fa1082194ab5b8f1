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

// runLog records each request that ran at the targets.
type runLog struct {
	mu       sync.Mutex
	runs     map[string]int // by request ID and service
	arrivals []arrival      // in their order
}

// arrival is a request as a target saw it.
type arrival struct {
	id, service, zone string
	accounts, keys    []string // values of the headers
	at                time.Time
}

func (l *runLog) record(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[a.id+" "+a.service]++
	l.arrivals = append(l.arrivals, a)
}

func (l *runLog) count(id, service string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id+" "+service]
}

// target is an instance of one service behind a proxy.
type target struct {
	id, service, zone string
	born              int64
	server            *httptest.Server
	proxy             *proxy
	stop              chan struct{}
	stopOnce          sync.Once
}

// records returns the records of a service's answer to a request.
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

func (cl *cluster) startTarget(t *testing.T, service, zone string) *target {
	cl.nextTarget++
	tgt := &target{id: fmt.Sprintf("i-%s-%d", service, cl.nextTarget), service: service, zone: zone, born: time.Now().UnixMilli(), stop: make(chan struct{})}
	tgt.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		rw.Header().Set("X-Request-Id", id)
		if r.Header.Get("X-Expected-Instance") != tgt.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		cl.runLog.record(arrival{id: id, service: service, zone: zone, accounts: r.Header["X-Tenant-Id"], keys: r.Header["X-Credential"], at: time.Now()})
		time.Sleep(time.Duration(1+rand.IntN(8)) * time.Millisecond)
		rw.Header().Set("X-Response-Signature", signature(service, id))
		fmt.Fprint(rw, strings.Join(records(service, id, recordsPerPart), ""))
	}))
	tgt.proxy = startProxy(t, tgt.server.Listener.Addr().String())
	go cl.announce(tgt)
	t.Cleanup(tgt.kill)
	return tgt
}

// kill stops a target without notice.
func (tgt *target) kill() {
	tgt.stopOnce.Do(func() {
		close(tgt.stop)
		tgt.server.CloseClientConnections()
		go tgt.server.Close()
		tgt.proxy.close()
	})
}

// announce announces a target to hosts in turn until the target is killed.
func (cl *cluster) announce(tgt *target) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for sequence := 1; ; sequence++ {
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"concurrency":4,"state":"ready","warmup_left_ms":0,"sequence":%d,"born":%d}`,
			tgt.service, tgt.proxy.ln.Addr(), tgt.zone, sequence, tgt.born)
		for try := range len(cl.hosts) {
			h := cl.hosts[(sequence+try)%len(cl.hosts)]
			r, err := http.NewRequest(http.MethodPut, "http://"+h.address("control")+"/hawthornlock/instances/"+tgt.id, strings.NewReader(body))
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
		case <-tgt.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

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
