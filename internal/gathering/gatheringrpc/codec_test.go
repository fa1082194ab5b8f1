package gatheringrpc

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/forward/forwardrun"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
)

// Guards against a request that fails only because it was handed over to another
// host: callers and searchers may use bytes in their texts that are not UTF-8.
func TestTextsNeedNotBeUTF8(t *testing.T) {
	odd := "caf\xe9"
	now := time.Unix(1_000, 0)
	call := &forwardrun.Call{
		ID: odd, Method: http.MethodPost, URI: "/" + odd, Host: odd, Header: http.Header{"X-A": {odd, ""}}, Body: []byte(odd),
		Route: &routeplan.Route{Name: "r"}, Arrived: now.Add(-20 * time.Millisecond), Deadline: now.Add(time.Second), Delay: 6 * time.Millisecond,
		Grant: forwardrun.Grant{Attempts: 1},
	}
	m := EncodeCall("h1", call, 7, "/"+odd)
	m.SetTimes(now, call, 3*time.Millisecond)
	data, err := proto.Marshal(m)
	require.NoError(t, err)
	var request GatherRequest
	require.NoError(t, proto.Unmarshal(data, &request))
	want := *call
	want.Delay += 3 * time.Millisecond
	want.Grant.Until = now.Add(2 * time.Second)
	require.Equal(t, &want, DecodeCall(now, &request, call.Route, 2*time.Second))

	for _, a := range []*forwardrun.Answer{
		{Signatures: []string{odd, "s"}, Body: []byte(odd), Missing: 2, Admitted: 0.75, Leaving: []forward.Identity{{Target: "t", Incarnation: 3}}},
		{Reply: &forwardrun.Reply{Status: 500, Header: http.Header{"X-B": {odd}}, Body: []byte(odd)}},
	} {
		data, err := proto.Marshal(EncodeAnswer(a, 40*time.Millisecond))
		require.NoError(t, err)
		var reply GatherReply
		require.NoError(t, proto.Unmarshal(data, &reply))
		got := DecodeAnswer(&reply, "h2")
		require.Equal(t, "h2", got.Gatherer)
		require.EqualValues(t, 40_000, reply.GetTookUs())
		require.Len(t, reply.GetLeaving(), len(a.Leaving))
		a.Gatherer, a.Leaving = "h2", nil
		require.Equal(t, a, got)
	}
}

// Guards against a part of a gather that is taken for one of other shards, because the
// two hosts have different versions of the route, and against shards out of range or
// twice, whose replies would be in the answer twice.
func TestPartsNameTheShardsOfTheRoute(t *testing.T) {
	route := &routeplan.Route{Gather: &routeplan.Gather{Services: []string{"a", "b", "c"}}}
	call := &forwardrun.Call{Route: route, Shards: []int{0, 2}}
	m := EncodeCall("h1", call, 7, "/")
	require.True(t, SameShards(m, route))
	require.Equal(t, []int{0, 2}, DecodeCall(time.Unix(1, 0), m, route, 0).Shards)
	for _, services := range [][]string{{"a", "b"}, {"a", "c", "b"}, {"a", "b", "c", "d"}, {"ab", "", "c"}} {
		require.False(t, SameShards(m, &routeplan.Route{Gather: &routeplan.Gather{Services: services}}), services)
	}
	require.False(t, SameShards(m, &routeplan.Route{}))
	for _, shards := range [][]uint32{{0, 0}, {2, 1}, {3}, {0, 1 << 31}} {
		m.Shards = shards
		require.False(t, SameShards(m, route), shards)
	}
	whole := EncodeCall("h1", &forwardrun.Call{Route: route}, 7, "/")
	require.True(t, SameShards(whole, &routeplan.Route{}))
	require.Nil(t, DecodeCall(time.Unix(1, 0), whole, route, 0).Shards)
}

// Guards against a success with nothing in it, and against a part whose shards do not
// add up.
func TestAnswersWithoutContentAreFailures(t *testing.T) {
	whole, part := &forwardrun.Call{}, &forwardrun.Call{Shards: []int{0, 2, 3}}
	reply := &forwardrun.Reply{Status: 200}
	for name, c := range map[string]struct {
		call   *forwardrun.Call
		answer forwardrun.Answer
		valid  bool
	}{
		"nothing":                  {whole, forwardrun.Answer{}, false},
		"only missing shards":      {whole, forwardrun.Answer{Missing: 3}, false},
		"a searcher's reply":       {whole, forwardrun.Answer{Reply: reply}, true},
		"a reply without a status": {whole, forwardrun.Answer{Reply: &forwardrun.Reply{Status: 42}}, false},
		"some shards":              {whole, forwardrun.Answer{Signatures: []string{"a"}, Missing: 7}, true},
		"a part":                   {part, forwardrun.Answer{Signatures: []string{"a", "b"}, Missing: 1}, true},
		"a part that has no shard": {part, forwardrun.Answer{Missing: 3}, true},
		"a part of other shards":   {part, forwardrun.Answer{Signatures: []string{"a", "b"}}, false},
		"a reply for a part":       {part, forwardrun.Answer{Reply: reply, Missing: 3}, false},
	} {
		require.Equal(t, c.valid, CheckAnswer(&c.answer, c.call) == nil, name)
	}
}
