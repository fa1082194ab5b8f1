package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// client sends requests to one host over a connection that it keeps open until
// the host closes it, and checks every response.
type client struct {
	cluster *cluster
	number  int
	host    *hostProcess
	conn    net.Conn
	br      *bufio.Reader
	sent    int
	served  *atomic.Int64
	refused map[string]bool // IDs of orders that were refused as not run

	account  string              // whose key it sends, empty for the public route without a key
	requests map[string]*request // by ID
}

// request is what a client sent and received.
type request struct {
	kind    string
	account string // that a target must see
	key     string
	host    *hostProcess
	sent    time.Time
	status  int // 0 without a response
}

// callerTimeout is how long a caller waits for a response.
const callerTimeout = 2 * time.Second

func (c *client) run(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		c.request(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(5+c.number%7) * time.Millisecond):
		}
	}
}

func (c *client) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// request sends a request, in turn a gather, a read and an order. Every other one
// names an account that the caller made up.
func (c *client) request(ctx context.Context) {
	if c.conn == nil && !c.connect(ctx) {
		return
	}
	c.sent++
	id := fmt.Sprintf("c%d-%d-%d", c.cluster.seed, c.number, c.sent)
	kind := []string{"all", "one", "order"}[c.sent%3]
	if c.account == "" {
		kind = "open"
	}
	key, header := c.cluster.credential(c.account), ""
	if key != "" {
		header = "X-Credential: " + key + "\r\n"
	}
	if c.sent%2 == 1 {
		header += "X-Tenant-Id: forged\r\n"
	}
	method := http.MethodGet
	if kind == "order" {
		method = http.MethodPost
	}
	started := time.Now()
	sent := &request{kind: kind, account: c.account, key: key, host: c.host, sent: started}
	c.requests[id] = sent
	_ = c.conn.SetDeadline(started.Add(callerTimeout + time.Second))
	text := fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%sContent-Length: 0\r\n\r\n", method, kind, id, callerTimeout.Milliseconds(), header)
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.closeConn()
		return
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		c.checkLostConnection(id, kind, started, err)
		c.closeConn()
		return
	}
	sent.status = resp.StatusCode
	c.checkAnswer(id, kind, resp, string(body))
	if resp.Close {
		c.closeConn()
	}
}

func (c *client) connect(ctx context.Context) bool {
	c.host = c.cluster.hosts[(c.number+c.sent)%len(c.cluster.hosts)]
	c.sent++
	conn, err := net.DialTimeout("tcp", c.host.address("front"), 300*time.Millisecond)
	if err != nil {
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
		return false
	}
	c.conn, c.br = conn, bufio.NewReader(conn)
	return true
}

// checkLostConnection checks a connection that ended without a response. If its
// host has had no fault but planned stops, the request must not have reached a
// target.
func (c *client) checkLostConnection(id, kind string, started time.Time, err error) {
	if c.host.faultySince(started.Add(-time.Second)) || time.Since(started) > callerTimeout {
		return
	}
	for _, s := range append([]string{"single"}, c.cluster.shards...) {
		if c.cluster.runLog.count(id, s) > 0 {
			c.cluster.fail("%s: %s %s reached a target and its connection ended without a response: %v", c.host.name, kind, id, err)
			return
		}
	}
}

// checkAnswer compares a response with the answers of the targets.
func (c *client) checkAnswer(id, kind string, resp *http.Response, body string) {
	status := resp.StatusCode
	if kind == "order" && slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}, status) {
		c.refused[id] = true
	}
	if status != http.StatusOK {
		return
	}
	c.served.Add(1)
	if kind != "all" {
		want := strings.Join(records("single", id, recordsPerPart), "")
		if body != want || resp.Header.Get("X-Response-Signature") != signature("single", id) {
			c.cluster.fail("%s: %s %s got the answer to another request: %q", c.host.name, kind, id, body)
		}
		return
	}
	c.checkGathered(id, resp, body)
}

func (c *client) checkGathered(id string, resp *http.Response, body string) {
	parts := strings.Split(resp.Header.Get("X-Part-Signatures"), ", ")
	missing, err := strconv.Atoi(resp.Header.Get("X-Missing-Parts"))
	if err != nil || len(parts)+missing != len(c.cluster.shards) {
		c.cluster.fail("%s: gather %s lists %d parts and %d missing parts for %d shards", c.host.name, id, len(parts), missing, len(c.cluster.shards))
		return
	}
	var all []string
	seen := map[string]bool{}
	for _, p := range parts {
		service, _, _ := strings.Cut(p, ".")
		if p != signature(service, id) || seen[service] || !slices.Contains(c.cluster.shards, service) {
			c.cluster.fail("%s: gather %s has the part %q twice or from another request", c.host.name, id, p)
			return
		}
		seen[service] = true
		all = append(all, records(service, id, recordsPerPart)...)
	}
	slices.Sort(all)
	slices.Reverse(all)
	if body != strings.Join(all[:min(topK, len(all))], "") {
		c.cluster.fail("%s: gather %s does not hold the greatest records of its parts", c.host.name, id)
	}
}

// topK is the number of records in a gathered answer.
const topK = 4

// planJSON returns the configuration of a version. Each version has a route of
// its own, so that the configurations of two versions differ in more than their
// number.
func (cl *cluster) planJSON(version int) string {
	var shards, services []string
	for _, s := range cl.shards {
		shards = append(shards, strconv.Quote(s))
	}
	for _, s := range append([]string{"single"}, cl.shards...) {
		services = append(services, fmt.Sprintf(`{"name":%q,"health_check_path":"/health","max_connections":40}`, s))
	}
	route := func(name, prefix, kind, where string) string {
		return fmt.Sprintf(`{"name":%q,"hostname":"soak.example","path_prefix":%q,"route_type":%q,"timeout_ms":2000,"target_latency_ms":300,"priority":1,"max_attempts":2,"public":%t,%s}`, name, prefix, kind, name == "open", where)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s,%s,%s],"services":[%s],"limits":{},"tenants":%s}`, version,
		route("all", "/all/", "safe", fmt.Sprintf(`"gather":[%s],"top_k":%d,"min_shard_ratio":0.6`, strings.Join(shards, ","), topK)),
		route("one", "/one/", "safe", `"service":"single"`),
		route("order", "/order/", "unsafe", `"service":"single"`),
		route("open", "/open/", "safe", `"service":"single"`),
		route("v", fmt.Sprintf("/v%d/", version), "safe", `"service":"single"`),
		strings.Join(services, ","), accountsJSON(version))
}

// putPlan sends a configuration to hosts in turn until one acknowledges it or
// timeout has passed. Each attempt sends the same text, as a retry after a lost
// reply does.
func (cl *cluster) putPlan(version, first int, timeout time.Duration) bool {
	text := cl.planJSON(version)
	httpClient := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end, try := time.Now().Add(timeout), first; time.Now().Before(end); try++ {
		h := cl.hosts[try%len(cl.hosts)]
		r, err := http.NewRequest(http.MethodPut, "http://"+h.address("control")+"/hawthornlock/config", strings.NewReader(text))
		if err != nil {
			return false
		}
		resp, err := httpClient.Do(r)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode >= 400 && resp.StatusCode < 500 {
			cl.fail("%s refused version %d with %d", h.name, version, resp.StatusCode)
		}
		if resp.StatusCode == http.StatusOK {
			cl.planMu.Lock()
			cl.acked = max(cl.acked, version)
			cl.planAcks = append(cl.planAcks, planAck{version, time.Now()})
			cl.planMu.Unlock()
			return true
		}
		time.Sleep(30 * time.Millisecond)
	}
	return false
}

// readPlan reads the configuration from a host and returns its version, or 0 if
// it can't be read. It must not be older than any version acknowledged before
// the read.
func (cl *cluster) readPlan(h *hostProcess) int {
	cl.planMu.Lock()
	acked := cl.acked
	cl.planMu.Unlock()
	httpClient := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := httpClient.Get("http://" + h.address("control") + "/hawthornlock/config")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return 0
	}
	var version int
	if _, err := fmt.Sscanf(string(body), `{"version":%d,`, &version); err != nil || string(body) != cl.planJSON(version) {
		cl.fail("%s returned a configuration that was never sent: %.80q", h.name, body)
		return 0
	}
	if version < acked {
		cl.fail("%s returned version %d after %d was acknowledged", h.name, version, acked)
	}
	return version
}
