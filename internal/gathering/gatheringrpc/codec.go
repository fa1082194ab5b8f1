// Package gatheringrpc sends requests to the hosts that gather, and their answers,
// between hosts with twirp.
package gatheringrpc

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/accounts"
	"github.com/hawthornlock/hawthornlock/internal/forward/forwardrun"
	"github.com/hawthornlock/hawthornlock/internal/httpanswer"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
)

// EncodeCall returns the request that hands a call of a host over to a gatherer.
// path selects the route in the plan of the given version. The message lacks the
// times, which SetTimes sets for each gatherer that is tried.
func EncodeCall(from string, c *forwardrun.Call, version uint64, path string) *GatherRequest {
	m := &GatherRequest{
		From: from, Plan: version, RequestId: []byte(c.ID), Method: []byte(c.Method), Uri: []byte(c.URI), Host: []byte(c.Host),
		Headers: encodeHeader(c.Header), Body: c.Body, Path: []byte(path), GrantedAttempts: uint32(c.Grant.Attempts),
	}
	if c.Key != (accounts.Key{}) {
		m.Key = c.Key[:]
	}
	if c.Shards != nil {
		m.ShardSet = c.Route.Gather.SetID()
	}
	for _, i := range c.Shards {
		m.Shards = append(m.Shards, uint32(i))
	}
	return m
}

// maxGrantedAttempts bounds the extra attempts that a message may grant.
const maxGrantedAttempts = 8

// SameShards reports whether the shards of a request are shards of a route. A request
// for a whole gather fits every route.
func SameShards(m *GatherRequest, route *routeplan.Route) bool {
	if len(m.GetShards()) == 0 {
		return true
	}
	if route.Gather == nil || m.GetShardSet() != route.Gather.SetID() {
		return false
	}
	next := uint32(0)
	for _, i := range m.GetShards() {
		if i < next || int(i) >= len(route.Gather.Services) {
			return false
		}
		next = i + 1
	}
	return true
}

// Keys returns the digests of the keys with which the caller's request came.
func Keys(m *GatherRequest) []accounts.Key {
	if len(m.GetKey()) != len(accounts.Key{}) {
		return nil
	}
	return []accounts.Key{accounts.Key(m.GetKey())}
}

// SetTimes sets the times of a request that is sent now. hop is the time that passes
// on the way to the gatherer and back.
func (m *GatherRequest) SetTimes(now time.Time, c *forwardrun.Call, hop time.Duration) {
	m.ElapsedUs, m.LeftUs = now.Sub(c.Arrived).Microseconds(), c.Deadline.Sub(now).Microseconds()
	m.DelayUs = (c.Delay + hop).Microseconds()
}

// DecodeCall returns the call of a request that arrived now, on its route. Its grant
// expires after the given time.
func DecodeCall(now time.Time, m *GatherRequest, route *routeplan.Route, grantLifetime time.Duration) *forwardrun.Call {
	c := &forwardrun.Call{
		ID: string(m.GetRequestId()), Method: string(m.GetMethod()), URI: string(m.GetUri()), Host: string(m.GetHost()),
		Header: decodeHeader(m.GetHeaders()), Body: m.GetBody(), Route: route,
		Arrived:  now.Add(-time.Duration(m.GetElapsedUs()) * time.Microsecond),
		Deadline: now.Add(time.Duration(m.GetLeftUs()) * time.Microsecond),
		Delay:    time.Duration(m.GetDelayUs()) * time.Microsecond,
	}
	if n := m.GetGrantedAttempts(); n > 0 {
		c.Grant = forwardrun.Grant{Attempts: int(min(n, maxGrantedAttempts)), Until: now.Add(grantLifetime)}
	}
	for _, i := range m.GetShards() {
		c.Shards = append(c.Shards, int(i))
	}
	return c
}

// EncodeAnswer returns the reply that carries an answer, without a failure. took is
// the time since the request arrived.
func EncodeAnswer(a *forwardrun.Answer, took time.Duration) *GatherReply {
	m := &GatherReply{Body: a.Body, Missing: uint32(a.Missing), Attempts: uint32(len(a.Attempts)), TookUs: took.Microseconds(), AdmittedPermille: uint32(1000 * a.Admitted)}
	for _, s := range a.Signatures {
		m.Signatures = append(m.Signatures, []byte(s))
	}
	for _, id := range a.Leaving {
		m.Leaving = append(m.Leaving, &Searcher{Target: id.Target, Incarnation: id.Incarnation})
	}
	if a.Reply != nil {
		m.Status, m.Headers, m.Body = uint32(a.Reply.Status), encodeHeader(a.Reply.Header), a.Reply.Body
	}
	return m
}

// DecodeAnswer returns the answer in the reply of a gatherer.
func DecodeAnswer(m *GatherReply, gatherer string) *forwardrun.Answer {
	a := &forwardrun.Answer{Body: m.GetBody(), Missing: int(m.GetMissing()), Gatherer: gatherer, Plan: m.GetPlan(), Admitted: float64(m.GetAdmittedPermille()) / 1000}
	for _, s := range m.GetSignatures() {
		a.Signatures = append(a.Signatures, string(s))
	}
	if m.GetStatus() > 0 {
		a.Body, a.Reply = nil, &forwardrun.Reply{Status: int(m.GetStatus()), Header: decodeHeader(m.GetHeaders()), Body: m.GetBody()}
	}
	return a
}

// CheckAnswer returns an error if a successful answer can't be the answer to a call. The
// gatherer may have a newer route plan than the host that asked, so an answer to a whole
// request is either a searcher's reply or merged from any number of shards.
func CheckAnswer(a *forwardrun.Answer, c *forwardrun.Call) error {
	switch {
	case c.Shards != nil && (a.Reply != nil || len(a.Signatures)+a.Missing != len(c.Shards)):
		return errors.Newf("%d replies and %d missing shards for a part of %d shards", len(a.Signatures), a.Missing, len(c.Shards))
	case c.Shards == nil && a.Reply == nil && len(a.Signatures) == 0:
		return errors.New("an answer without a reply")
	case a.Reply != nil && !httpanswer.Final(a.Reply.Status):
		return httpanswer.NotAnAnswer(a.Reply.Status)
	}
	return nil
}

func encodeHeader(h http.Header) []*Header {
	out := make([]*Header, 0, len(h))
	for name, values := range h {
		m := &Header{Name: []byte(name)}
		for _, v := range values {
			m.Values = append(m.Values, []byte(v))
		}
		out = append(out, m)
	}
	return out
}

func decodeHeader(headers []*Header) http.Header {
	out := make(http.Header, len(headers))
	for _, h := range headers {
		for _, v := range h.GetValues() {
			out[string(h.GetName())] = append(out[string(h.GetName())], string(v))
		}
	}
	return out
}
