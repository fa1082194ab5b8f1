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
	}
	m := EncodeCall("h1", call, 7, "/"+odd)
	m.SetTimes(now, call, 3*time.Millisecond)
	data, err := proto.Marshal(m)
	require.NoError(t, err)
	var request GatherRequest
	require.NoError(t, proto.Unmarshal(data, &request))
	want := *call
	want.Delay += 3 * time.Millisecond
	require.Equal(t, &want, DecodeCall(now, &request, call.Route))

	for _, a := range []*forwardrun.Answer{
		{Signatures: []string{odd, "s"}, Body: []byte(odd), Missing: 2, Leaving: []forward.Identity{{Target: "t", Incarnation: 3}}},
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
