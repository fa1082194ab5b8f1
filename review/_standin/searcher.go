package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// searcher is a stand-in for a sound searcher: it runs a bounded number of requests at
// a time, queues a few more, echoes request IDs, answers 421 to requests for another
// searcher, and drops a request whose connection closes.
type searcher struct {
	f       *fleet
	id      string
	service string
	zone    string
	slots   chan struct{}
	queue   int
	address string
	born    int64
	server  *http.Server
	shard   bool // its answers are records, and its requests are not recorded

	mu       sync.Mutex
	sequence int
	beatAt   string // address for heartbeats, empty for any host
	leaving  bool   // DELETE was sent
	waiting  int
	runs     []run
	next     int // host for the next call
	stop     chan struct{}
}

// run is a request that a searcher began to work on.
type run struct {
	id          string
	began, done time.Time
	finished    bool // false if it was dropped, since its connection closed
}

func (f *fleet) startSearcher(service, zone string, slots, queue int) *searcher {
	f.searchers++
	ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", f.net, 100+f.searchers))
	if err != nil {
		cannotRun("listen for a searcher: %v", err)
	}
	s := &searcher{
		f: f, id: fmt.Sprintf("i-%08x", 0x7f3a9100+f.searchers), service: service, zone: zone, slots: make(chan struct{}, slots),
		queue: queue, address: ln.Addr().String(), born: time.Now().UnixMilli(), stop: make(chan struct{}), next: f.searchers,
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(ln) }()
	f.rec.line("searcher %s of %s serves at %s", s.id, service, s.address)
	return s
}

// ServeHTTP runs a request. Its path ends with the milliseconds that it works.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	deadline, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64)
	if err != nil || id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	arrived := time.Now()
	s.note("searcher %s: %s arrived", s.id, id)
	ctx, cancel := context.WithDeadline(r.Context(), arrived.Add(time.Duration(deadline)*time.Millisecond))
	defer cancel()
	if !s.takeSlot(ctx) {
		s.note("searcher %s: %s not run", s.id, id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	work := 20
	if i := bytes.LastIndexByte([]byte(r.URL.Path), '/'); i >= 0 {
		if n, err := strconv.Atoi(r.URL.Path[i+1:]); err == nil {
			work = n
		}
	}
	x := run{id: id, began: time.Now()}
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
		x.finished = true
	case <-ctx.Done():
	}
	x.done = time.Now()
	if !s.shard {
		s.mu.Lock()
		s.runs = append(s.runs, x)
		s.mu.Unlock()
	}
	s.note("searcher %s: %s ran from %.3f, finished %t", s.id, id, s.f.rec.at(x.began), x.finished)
	if !x.finished {
		if r.Context().Err() == nil {
			w.Header().Set("X-Response-Signature", sign(s, id))
			w.WriteHeader(http.StatusGatewayTimeout)
		}
		return
	}
	w.Header().Set("X-Response-Signature", sign(s, id))
	w.Header().Set("Content-Type", "application/octet-stream")
	if s.shard {
		_, _ = w.Write(bytes.Join(records(s.service, id), nil))
		return
	}
	_, _ = w.Write([]byte(body(id)))
}

func (s *searcher) note(format string, args ...any) {
	if !s.shard {
		s.f.rec.line(format, args...)
	}
}

func sign(s *searcher, id string) string { return id + "." + s.id }

// body is the answer to a request.
func body(id string) string { return "answer to " + id + "\n" }

// takeSlot waits for a slot. It reports false if the queue is full or the request has
// ended meanwhile.
func (s *searcher) takeSlot(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	full := s.waiting >= s.queue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// runsOf returns the runs of a request.
func (s *searcher) runsOf(id string) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []run
	for _, x := range s.runs {
		if x.id == id {
			out = append(out, x)
		}
	}
	return out
}

// beat sends one heartbeat to an address and reports whether it was acknowledged.
func (s *searcher) beat(address, state string) bool { return s.prepareBeat(state)(address) }

// prepareBeat returns a function that sends a heartbeat with the content of now.
func (s *searcher) prepareBeat(state string) func(address string) bool {
	s.mu.Lock()
	s.sequence++
	sequence := s.sequence
	s.mu.Unlock()
	b, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "concurrency": cap(s.slots), "state": state,
		"warmup_left_ms": 0, "sequence": sequence, "born": s.born,
	})
	return func(address string) bool {
		r, _ := http.NewRequest(http.MethodPut, "http://"+address+"/hawthornlock/instances/"+s.id, bytes.NewReader(b))
		r.Header.Set("Content-Type", "application/json")
		resp, err := quick.Do(r)
		if err != nil {
			s.note("searcher %s: PUT %s, sequence %d, to %s: no answer", s.id, state, sequence, address)
			return false
		}
		defer resp.Body.Close()
		var m struct {
			URL string `json:"heartbeat_url"`
		}
		if data, err := io.ReadAll(io.LimitReader(resp.Body, 4096)); err == nil && resp.StatusCode/100 == 2 {
			_ = json.Unmarshal(data, &m)
		}
		s.note("searcher %s: PUT %s, sequence %d, to %s: %d, heartbeat_url %q", s.id, state, sequence, address, resp.StatusCode, m.URL)
		if resp.StatusCode/100 != 2 {
			return false
		}
		if u, err := url.Parse(m.URL); err == nil && u.Host != "" {
			m.URL = u.Host
		}
		s.mu.Lock()
		s.beatAt = m.URL
		s.mu.Unlock()
		return true
	}
}

// address for the next call: the one that the last answer named, or the next host.
func (s *searcher) nextAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.beatAt != "" {
		return s.beatAt
	}
	s.next++
	return s.f.controlOf(s.f.hosts[s.next%len(s.f.hosts)])
}

// announce sends a heartbeat about every heartbeat interval until the searcher leaves.
func (s *searcher) announce() {
	for {
		if !s.beat(s.nextAddress(), "ready") {
			s.mu.Lock()
			s.beatAt = ""
			s.mu.Unlock()
			select {
			case <-s.stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			continue
		}
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// leave sends DELETE to a host and reports when it was acknowledged.
func (s *searcher) leave(h *host) (time.Time, bool) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	r, _ := http.NewRequest(http.MethodDelete, "http://"+s.f.controlOf(h)+"/hawthornlock/instances/"+s.id, nil)
	resp, err := quick.Do(r)
	if err != nil {
		s.f.rec.line("searcher %s: DELETE to %s: no answer", s.id, h.name)
		return time.Time{}, false
	}
	_ = resp.Body.Close()
	s.f.rec.line("searcher %s: DELETE to %s: %d", s.id, h.name, resp.StatusCode)
	return time.Now(), resp.StatusCode/100 == 2
}

// exit ends the searcher: its connections close, and what it works on is dropped.
func (s *searcher) exit() {
	s.f.rec.line("searcher %s exits", s.id)
	_ = s.server.Close()
}
