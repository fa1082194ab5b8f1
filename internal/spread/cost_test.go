package spread_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/membership/membershiprpc"
	"github.com/hawthornlock/hawthornlock/internal/spread"
	"github.com/hawthornlock/hawthornlock/internal/spread/spreadrpc"
	"github.com/hawthornlock/hawthornlock/internal/targets"
	"github.com/hawthornlock/hawthornlock/internal/targets/targetsrpc"
)

// traffic counts what one host sends and receives for one purpose.
type traffic struct {
	messages, bytes float64
}

// meter counts encoded messages and the time to encode and decode them.
type meter struct {
	overhead   float64 // bytes of HTTP per message
	heartbeats map[*host]*traffic
	renewals   map[*host]*traffic
	records    map[*host]*traffic
	codec      map[*host]time.Duration
}

func (m *meter) reset() {
	m.heartbeats, m.renewals, m.records = map[*host]*traffic{}, map[*host]*traffic{}, map[*host]*traffic{}
	m.codec = map[*host]time.Duration{}
}

func (m *meter) sent(from, to *host, msg any) {
	switch msg := msg.(type) {
	case *membership.Heartbeat:
		m.count(m.heartbeats, from, to, func() proto.Message { return membershiprpc.Encode(msg) }, &membershiprpc.Heartbeat{},
			func(p proto.Message) error { _, err := membershiprpc.Decode(p.(*membershiprpc.Heartbeat)); return err })
	case *targets.ForwardRenewals:
		m.count(m.renewals, from, to, func() proto.Message { return targetsrpc.EncodeRenewals(from.member.Host, msg.Renewals) }, &targetsrpc.ForwardRequest{},
			func(p proto.Message) error {
				_, err := targetsrpc.DecodeRenewals(p.(*targetsrpc.ForwardRequest))
				return err
			})
		m.add(m.renewals, to, from, 0) // the empty response
	case *spread.Request:
		m.count(m.records, from, to, func() proto.Message { return spreadrpc.EncodeRequest(msg) }, &spreadrpc.ExchangeRequest{},
			func(p proto.Message) error {
				_, err := spreadrpc.DecodeRequest(p.(*spreadrpc.ExchangeRequest))
				return err
			})
	case *spread.Response:
		m.count(m.records, from, to, func() proto.Message { return spreadrpc.EncodeResponse(msg) }, &spreadrpc.ExchangeResponse{},
			func(p proto.Message) error {
				_, err := spreadrpc.DecodeResponse(p.(*spreadrpc.ExchangeResponse))
				return err
			})
	}
}

func (m *meter) count(counts map[*host]*traffic, from, to *host, encode func() proto.Message, empty proto.Message, decode func(proto.Message) error) {
	begin := time.Now()
	data, err := proto.Marshal(encode())
	m.codec[from] += time.Since(begin)
	begin = time.Now()
	if err == nil {
		err = proto.Unmarshal(data, empty)
	}
	if err == nil {
		err = decode(empty)
	}
	m.codec[to] += time.Since(begin)
	if err != nil {
		panic(err)
	}
	m.add(counts, from, to, float64(len(data)))
}

func (m *meter) add(counts map[*host]*traffic, from, to *host, bytes float64) {
	for _, h := range []*host{from, to} {
		t := counts[h]
		if t == nil {
			t = &traffic{}
			counts[h] = t
		}
		t.messages++
		t.bytes += bytes + m.overhead
	}
}

// mean returns bytes and messages per host and second, sent and received.
func mean(counts map[*host]*traffic, hosts []*host, seconds float64) (bytes, messages float64) {
	for _, h := range hosts {
		if t := counts[h]; t != nil {
			bytes += t.bytes
			messages += t.messages
		}
	}
	n := float64(len(hosts)) * seconds
	return bytes / n, messages / n
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	read, written *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// exchangeServer answers heartbeats over loopback, with HTTP/1.1 or with
// HTTP/2 without TLS, and counts bytes at the client.
func exchangeServer(tb testing.TB, http2 bool) (client *http.Client, url string, bytes func() int64) {
	var protocols http.Protocols
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	server := httptest.NewUnstartedServer(membershiprpc.NewHandler(func(_ context.Context, hb membership.Heartbeat) (membership.Heartbeat, error) {
		return hb, nil
	}))
	server.Config.Protocols = &protocols
	server.Start()
	tb.Cleanup(server.Close)
	var read, written atomic.Int64
	dialer := &net.Dialer{}
	transport := &http.Transport{Protocols: &protocols, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		return countingConn{Conn: conn, read: &read, written: &written}, err
	}}
	tb.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}, server.URL, func() int64 { return read.Load() + written.Load() }
}

// httpOverhead returns the bytes that HTTP adds to one message, the mean of
// request and response, without the headers of TCP and IP.
func httpOverhead(tb testing.TB, http2 bool) float64 {
	client, url, bytes := exchangeServer(tb, http2)
	hb := membership.Heartbeat{Host: "host-001", Incarnation: 1 << 60, Token: 1 << 60, Echo: 1 << 60, Digest: 1 << 63}
	exchange := func(n int) float64 {
		before := bytes()
		for range n {
			_, err := membershiprpc.Exchange(tb.Context(), client, url, &hb)
			require.NoError(tb, err)
		}
		return float64(bytes()-before) / float64(n)
	}
	exchange(10) // connection setup
	return (exchange(100) - 2*float64(proto.Size(membershiprpc.Encode(&hb)))) / 2
}

// BenchmarkExchange measures one heartbeat over twirp on loopback, for both
// sides together.
func BenchmarkExchange(b *testing.B) {
	hb := membership.Heartbeat{Host: "host-001", Incarnation: 1 << 60, Token: 1 << 60, Echo: 1 << 60, Digest: 1 << 63}
	for _, http2 := range []bool{false, true} {
		b.Run(fmt.Sprintf("http2=%v", http2), func(b *testing.B) {
			client, url, _ := exchangeServer(b, http2)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := membershiprpc.Exchange(b.Context(), client, url, &hb); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(httpOverhead(b, http2), "http-B/message")
		})
	}
}

// benchCluster returns a cluster with as many regions as the design scale has, if
// there are enough hosts.
func benchCluster(hosts, searchers int) *cluster {
	c := newCluster(uint64(hosts*100_000 + searchers))
	regions := min(9, max(1, hosts/20))
	for i := range hosts {
		roles := membership.RoleEntry
		if hosts > membership.MeshLimit && i/regions < 2 {
			roles = membership.RoleRelay
		}
		c.addHost(fmt.Sprintf("host-%04d", i), fmt.Sprint("region-", i%regions), fmt.Sprint("domain-", i%31), roles)
	}
	c.agree()
	for range searchers / 2 {
		c.addTarget(480)
	}
	c.run(30 * time.Second)
	return c
}

// BenchmarkControlCost measures, on virtual time, what membership, targets
// and spread cost each host as hosts and searchers grow. The metrics are per
// host and second, sent and received together, over HTTP/2 without TLS;
// decide-us is the time in decisions and codec-us the time in encoding and
// decoding.
func BenchmarkControlCost(b *testing.B) {
	if testing.Short() {
		b.Skip("takes minutes; part of make bench-scale")
	}
	overhead := httpOverhead(b, true)
	for _, hosts := range []int{3, 6, 12, 24, 48, 200} {
		for _, searchers := range []int{100, 1_000, 10_000} {
			b.Run(fmt.Sprintf("hosts=%d/searchers=%d", hosts, searchers), func(b *testing.B) {
				c := benchCluster(hosts, searchers)
				m := &meter{overhead: overhead}
				c.sent = m.sent
				for b.Loop() {
					measureSteady(b, c, m)
					measureChanges(b, c, m)
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func resetMeasurements(c *cluster, m *meter) {
	m.reset()
	runtime.GC()
	for _, h := range c.hosts {
		h.spent = 0
	}
}

const measuredSeconds = 10 // in virtual time

func measureSteady(b *testing.B, c *cluster, m *meter) {
	resetMeasurements(c, m)
	c.run(measuredSeconds * time.Second)
	relays, leaves := splitRelays(c)
	for _, part := range []struct {
		name  string
		hosts []*host
	}{{"", leaves}, {"relay-", relays}} {
		if len(part.hosts) == 0 {
			continue
		}
		bytes, messages := mean(m.heartbeats, part.hosts, measuredSeconds)
		b.ReportMetric(bytes, part.name+"heartbeat-B/s")
		renewalBytes, renewalMessages := mean(m.renewals, part.hosts, measuredSeconds)
		b.ReportMetric(renewalBytes, part.name+"renewal-B/s")
		_, recordMessages := mean(m.records, part.hosts, measuredSeconds)
		b.ReportMetric(messages+renewalMessages+recordMessages, part.name+"messages/s")
		b.ReportMetric(spent(part.hosts), part.name+"decide-us/s")
		b.ReportMetric(codec(part.hosts, m), part.name+"codec-us/s")
	}
}

// measureChanges changes two targets per second and reports the cost of one
// change for a host.
func measureChanges(b *testing.B, c *cluster, m *meter) {
	resetMeasurements(c, m)
	const changes = 2 * measuredSeconds
	for i := range changes {
		c.targets[i%len(c.targets)].ConnectionLimit++
		c.targets[i%len(c.targets)].announceNow(c)
		c.run(measuredSeconds * time.Second / changes)
	}
	relays, leaves := splitRelays(c)
	bytes, _ := mean(m.records, leaves, changes)
	b.ReportMetric(bytes, "B/change")
	if len(relays) > 0 {
		bytes, _ = mean(m.records, relays, changes)
		b.ReportMetric(bytes, "relay-B/change")
	}
}

func splitRelays(c *cluster) (relays, leaves []*host) {
	for _, h := range c.hosts {
		if h.member.Roles == membership.RoleRelay {
			relays = append(relays, h)
		} else {
			leaves = append(leaves, h)
		}
	}
	return relays, leaves
}

func spent(hosts []*host) float64 {
	var sum time.Duration
	for _, h := range hosts {
		sum += h.spent
	}
	return float64(sum.Microseconds()) / float64(len(hosts)) / measuredSeconds
}

func codec(hosts []*host, m *meter) float64 {
	var sum time.Duration
	for _, h := range hosts {
		sum += m.codec[h]
	}
	return float64(sum.Microseconds()) / float64(len(hosts)) / measuredSeconds
}

// BenchmarkMemory measures the heap of one host that knows all targets and
// hosts of the design scale.
func BenchmarkMemory(b *testing.B) {
	if testing.Short() {
		b.Skip("takes minutes; part of make bench-scale")
	}
	const hosts, searchers = 8_100, 110_000
	c := newCluster(1)
	for range searchers / 2 {
		c.addTarget(480)
	}
	live := make([]string, hosts)
	for i := range live {
		live[i] = fmt.Sprintf("host-%04d", i)
	}
	for b.Loop() {
		before := heapBytes()
		r := targets.NewRegistry("self")
		r.Step(c.now, targets.MembersChanged{Live: live, Quorate: true})
		for _, t := range c.targets {
			a := t.Announcement
			a.Seq = 1
			_, err := r.Announce(c.now, a)
			require.NoError(b, err)
		}
		r.View()
		afterTargets := heapBytes()
		self := membership.Member{Host: "self", PeerAddress: c.targets[0].Address}
		s := membership.NewState(c.now, membership.Settings{Self: self})
		for i, host := range live {
			m := membership.Member{
				Host: host, Incarnation: 1, PeerAddress: c.targets[i].Address,
				Region: fmt.Sprint("region-", i%9), FailureDomain: fmt.Sprint("domain-", i%31), Roles: membership.RoleEntry,
			}
			s.Step(c.now, membership.MemberReceived{From: "host-0000", Member: m})
		}
		afterMembers := heapBytes()
		begin := time.Now()
		r.Step(c.now, targets.MembersChanged{Live: live[1:], Quorate: true})
		reassign := time.Since(begin)
		b.ReportMetric((afterTargets-before)/float64(len(c.targets)), "B/target")
		b.ReportMetric((afterMembers-afterTargets)/hosts, "B/member")
		b.ReportMetric((heapBytes()-before)/1e6, "MB")
		b.ReportMetric(float64(reassign.Microseconds()), "host-left-us")
		runtime.KeepAlive(s)
		runtime.KeepAlive(r)
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
