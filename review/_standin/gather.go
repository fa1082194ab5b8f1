package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The gathered route of the small deployment, and the place of a route within it.
const (
	shards       = 20
	topK         = 50
	minRatio     = 0.89
	gatherPrefix = "/ziti980/"
	innerPrefix  = "/ziti980/ti38/"
)

// records returns the 16-byte records of a shard's answer to a request.
func records(service, id string) [][]byte {
	var out [][]byte
	for i := range 25 {
		h := fnv.New128a()
		fmt.Fprintf(h, "%s/%s/%d", service, id, i)
		out = append(out, h.Sum(nil))
	}
	return out
}

// gatherConfig returns a configuration with a gathered route. With inner, requests below
// innerPrefix go to a single service.
func gatherConfig(version int, inner bool) []byte {
	var names []string
	services := []any{serviceOf("landlord-portal", 40)}
	for i := range shards {
		names = append(names, shardName(i))
		services = append(services, serviceOf(shardName(i), 28))
	}
	routes := []any{map[string]any{
		"name": "r-build", "hostname": siteHost, "path_prefix": gatherPrefix, "route_type": "safe", "timeout_ms": 1200,
		"target_latency_ms": 200, "priority": 1, "gather": names, "max_attempts": 2, "top_k": topK, "min_shard_ratio": minRatio,
	}}
	if inner {
		routes = append(routes, map[string]any{
			"name": "r-inner", "hostname": siteHost, "path_prefix": innerPrefix, "route_type": "safe", "timeout_ms": 5000,
			"target_latency_ms": 800, "priority": 2, "service": "landlord-portal", "max_attempts": 2,
		})
	}
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		cannotRun("encode a configuration: %v", err)
	}
	return b
}

func shardName(i int) string { return fmt.Sprintf("round-planner-%02d", i) }

func serviceOf(name string, connections int) map[string]any {
	return map[string]any{"name": name, "health_check_path": "/health", "max_connections": connections, "protocol": "h1", "tls_enabled": false}
}

// gather freezes a host while a route to a single service is added within a gathered
// route. Requests to the place of the new route wait at the host when it wakes up.
func gather(rec *record, trouble bool) string {
	const (
		requests = 48 // half of them just before the change, half after it
		freeze   = 4 * time.Second
	)
	f := newFleet(rec, 4, 8)
	defer f.stopAll()
	f.startAll()
	owner := make(map[string]string) // service of a searcher
	for i := range shards {
		for _, zone := range zones[:2] {
			s := f.startSearcher(shardName(i), zone, 2, 12)
			s.shard = true
			owner[s.id] = s.service
			go s.announce()
			defer close(s.stop)
		}
	}
	for i := range 4 {
		s := f.startSearcher("landlord-portal", zones[i], 2, 8)
		owner[s.id] = s.service
		go s.announce()
		defer close(s.stop)
	}
	if !f.awaitConfig(f.hosts, 7, gatherConfig(7, false), 15*time.Second) {
		f.stopAll()
		cannotRun("the configuration was not acknowledged")
	}
	f.awaitReady(10 * time.Second)
	time.Sleep(contact + 2*time.Second)
	// A host without a disk in a failure domain without searchers of the shards.
	frozen := f.hosts[11]
	var callers []*caller
	for i := range requests {
		c, err := f.connect(frozen)
		if err != nil {
			f.stopAll()
			cannotRun("connect: %v", err)
		}
		defer c.close()
		callers = append(callers, c)
		if kind, wrong, _ := c.search(fmt.Sprintf("w%04d", i), owner); kind != "200 gathered" || wrong != "" {
			f.stopAll()
			cannotRun("a request before the change: %s %s", kind, wrong)
		}
	}
	frozenAt := time.Now()
	if trouble {
		f.signal(frozen, syscall.SIGSTOP)
	}
	var mu sync.Mutex
	var broken []string
	counts := make(map[string]int)
	var wg sync.WaitGroup
	send := func(i int) {
		wg.Go(func() {
			id := fmt.Sprintf("q%04d", i)
			sent := time.Now()
			kind, wrong, _ := callers[i].search(id, owner)
			mu.Lock()
			defer mu.Unlock()
			counts[kind]++
			rec.line("client: GET %s at %s, sent %.3f: %s %s", id, frozen.name, rec.at(sent), kind, wrong)
			if wrong != "" {
				broken = append(broken, fmt.Sprintf("%s at %s: %s", id, frozen.name, wrong))
			}
		})
	}
	time.Sleep(time.Until(frozenAt.Add(freeze - 370*time.Millisecond)))
	for i := range requests / 2 {
		send(i)
	}
	time.Sleep(20 * time.Millisecond)
	if !f.awaitConfig(f.hosts[:4], 8, gatherConfig(8, true), 2*time.Second) {
		f.stopAll()
		cannotRun("the second configuration was not acknowledged")
	}
	time.Sleep(time.Until(frozenAt.Add(freeze - 200*time.Millisecond)))
	for i := requests / 2; i < requests; i++ {
		send(i)
	}
	time.Sleep(time.Until(frozenAt.Add(freeze)))
	if trouble {
		f.signal(frozen, syscall.SIGCONT)
	}
	wg.Wait()
	var kinds []string
	for k, n := range counts {
		kinds = append(kinds, fmt.Sprintf("%s: %d", k, n))
	}
	slices.Sort(kinds)
	rec.line("answers: %s", strings.Join(kinds, ", "))
	if len(broken) > 0 {
		return fmt.Sprintf("MIXED: %d answers with status 200 are neither a gathered answer nor a searcher's: %s", len(broken), broken[0])
	}
	return ""
}

// search sends a request to a place that is gathered or has a single service, and
// returns what the answer is and, for a success, why it is neither.
func (c *caller) search(id string, owner map[string]string) (kind, wrong string, more bool) {
	text := fmt.Sprintf("GET %sq/10 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1200\r\n\r\n", innerPrefix, siteHost, id)
	_ = c.conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.WriteString(c.conn, text); err != nil {
		return "closed", "", false
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: http.MethodGet})
	if err != nil {
		return "closed", "", false
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "closed", "", false
	}
	kind = strconv.Itoa(resp.StatusCode)
	if resp.StatusCode/100 != 2 {
		return kind, "", !resp.Close
	}
	if signature := resp.Header.Get("X-Response-Signature"); signature != "" {
		if !strings.HasPrefix(signature, id+".") || string(data) != body(id) {
			wrong = fmt.Sprintf("signature %q with a body of %d bytes", signature, len(data))
		}
		return kind + " of one searcher", wrong, !resp.Close
	}
	return kind + " gathered", checkGathered(id, resp.Header, data, owner), !resp.Close
}

// checkGathered returns why a gathered answer is wrong.
func checkGathered(id string, h http.Header, data []byte, owner map[string]string) string {
	missing, _ := strconv.Atoi(h.Get("X-Missing-Parts"))
	seen := make(map[string]bool)
	var all [][]byte
	for _, list := range h.Values("X-Part-Signatures") {
		for _, signature := range strings.Split(list, ",") {
			signature = strings.TrimSpace(signature)
			if signature == "" {
				continue
			}
			searcher, ok := strings.CutPrefix(signature, id+".")
			service := owner[searcher]
			if !ok || service == "" || seen[service] {
				return fmt.Sprintf("the signature %q does not belong", signature)
			}
			seen[service] = true
			all = append(all, records(service, id)...)
		}
	}
	switch {
	case len(seen) == 0:
		return fmt.Sprintf("it names no part, X-Part-Signatures %q, X-Missing-Parts %d, a body of %d bytes", h.Values("X-Part-Signatures"), missing, len(data))
	case len(seen)+missing != shards:
		return fmt.Sprintf("%d parts and %d missing ones are not %d", len(seen), missing, shards)
	case float64(len(seen)) < minRatio*shards:
		return fmt.Sprintf("only %d parts", len(seen))
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	if !bytes.Equal(data, bytes.Join(all[:topK], nil)) {
		return "the body is not the greatest records of its parts"
	}
	return ""
}
