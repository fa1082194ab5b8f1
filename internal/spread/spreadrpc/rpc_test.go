package spreadrpc

import (
	"context"
	"math"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/spread"
	"github.com/hawthornlock/hawthornlock/internal/targets"
	"github.com/hawthornlock/hawthornlock/internal/targets/targetsrpc"
)

func fullRequest() spread.Request {
	member := membership.Member{Host: "h2", Incarnation: 4, PeerAddress: netip.MustParseAddrPort("10.0.0.2:7000"), State: membership.Dead}
	record := &targets.Record{
		Announcement: targets.Announcement{
			Target: "t1", Incarnation: 3, Seq: 7, Address: netip.MustParseAddrPort("10.0.0.1:80"), FailureDomain: "oita",
			ConnectionLimit: 30, Phase: targets.Ready, Searchers: []targets.Searcher{{Name: "s0", Slots: 2}},
		},
		Status: targets.StatusExpired,
	}
	version := spread.Version{Incarnation: 1, Seq: 2, Rank: 3, Tie: 4}
	return spread.Request{
		From: "h1", Session: 5, ID: 6, Digest: &spread.Digest{7: 8},
		Items: []spread.Item{
			{Key: spread.Key{Kind: spread.KindMember, Name: "h2"}, Version: version, Member: &member, Age: time.Minute},
			{Key: spread.Key{Kind: spread.KindTarget, Name: "t1"}, Version: version, Target: record, Age: time.Second},
			{Key: spread.Key{Kind: spread.KindLayout, Name: "v1"}, Version: version, Layout: targets.NewLayout("v1", 1, []string{"a"})},
			{Key: spread.Key{Kind: spread.KindTarget, Name: "t2"}, Version: version},
		},
	}
}

// Guards against fields that are lost between two hosts, and against an offer
// that is decoded as an item with a value.
func TestExchangeRoundTrip(t *testing.T) {
	want := fullRequest()
	reply := spread.Response{From: "h2", Session: 1, ID: 6, Wanted: []spread.Key{{Kind: spread.KindTarget, Name: "t2"}}, Digest: &spread.Digest{1: 2}}
	server := httptest.NewServer(NewHandler(func(_ context.Context, req spread.Request) (spread.Response, error) {
		require.Equal(t, want, req)
		return reply, nil
	}))
	defer server.Close()
	got, err := Exchange(t.Context(), server.Client(), server.URL, &want)
	require.NoError(t, err)
	require.Equal(t, reply, got)
}

// Guards against a value that is stored under the key of another item, and against
// one malformed item that keeps the valid ones of a message away: the sender
// repeats a failed message, so the receiver would stop following the records.
func TestItemsMustMatchTheirKeys(t *testing.T) {
	for i := range 3 {
		req := fullRequest()
		msg := EncodeRequest(&req)
		msg.Items[i].Key.Name = "other"
		requireLeftOut(t, req, msg, i)
		msg = EncodeRequest(&req)
		msg.Items[i].Key.Kind = 9
		requireLeftOut(t, req, msg, i)
	}
	_, err := DecodeRequest(&ExchangeRequest{Digest: []uint64{1}})
	require.Error(t, err)
}

// requireLeftOut requires that the decoder leaves out only the item at index i.
func requireLeftOut(t *testing.T, req spread.Request, msg *ExchangeRequest, i int) {
	t.Helper()
	got, err := DecodeRequest(msg)
	require.NoError(t, err)
	require.Equal(t, 1, got.Malformed)
	require.NotEmpty(t, got.MalformedReason)
	require.Equal(t, slices.Delete(slices.Clone(req.Items), i, i+1), got.Items)
}

// Guards against one odd record of another writer that keeps the other records
// away: values outside their bounds, texts that are too long, and addresses that
// are none.
func TestOddRecordsAreLeftOut(t *testing.T) {
	for name, change := range map[string]func(r *targetsrpc.Record){
		"address without a port":   func(r *targetsrpc.Record) { r.Address = []byte{10, 0, 0, 1} },
		"port 0":                   func(r *targetsrpc.Record) { r.Address = []byte{10, 0, 0, 1, 0, 0} },
		"no address":               func(r *targetsrpc.Record) { r.Address = nil },
		"unknown status":           func(r *targetsrpc.Record) { r.Status = math.MaxUint32 },
		"too many slots":           func(r *targetsrpc.Record) { r.Searchers[0].Slots = math.MaxUint32 },
		"no searchers":             func(r *targetsrpc.Record) { r.Searchers = nil },
		"too great seq":            func(r *targetsrpc.Record) { r.Seq = math.MaxUint64 },
		"no incarnation":           func(r *targetsrpc.Record) { r.Incarnation = 0 },
		"name of a megabyte":       func(r *targetsrpc.Record) { r.FailureDomain = strings.Repeat("x", 1<<20) },
		"label of a megabyte":      func(r *targetsrpc.Record) { r.Labels = map[string]string{"a": strings.Repeat("x", 1<<20)} },
		"unknown index snapshot":   func(r *targetsrpc.Record) { r.Searchers[0].Holds = []*targetsrpc.Holding{{IndexSnapshot: 9}} },
		"too many connections":     func(r *targetsrpc.Record) { r.ConnectionLimit = math.MaxUint32 },
		"alive although it leaves": func(r *targetsrpc.Record) { r.Status, r.Leaving = 0, true },
	} {
		t.Run(name, func(t *testing.T) {
			req := fullRequest()
			msg := EncodeRequest(&req)
			change(msg.Items[1].GetTarget())
			requireLeftOut(t, req, msg, 1)
		})
	}
}

// Guards against input that makes the decoder panic, and against items that are
// lost when a decoded request is encoded again.
func FuzzDecodeRequest(f *testing.F) {
	req := fullRequest()
	seed, err := proto.Marshal(EncodeRequest(&req))
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var msg ExchangeRequest
		if proto.Unmarshal(data, &msg) != nil {
			return
		}
		req, err := DecodeRequest(&msg)
		if err != nil {
			return
		}
		again, err := DecodeRequest(EncodeRequest(&req))
		require.NoError(t, err)
		require.Zero(t, again.Malformed)
		require.Equal(t, len(req.Items), len(again.Items))
	})
}

// Guards against input that makes the decoder panic, and against a response that
// changes when it is encoded again.
func FuzzDecodeResponse(f *testing.F) {
	resp := spread.Response{From: "h2", Wanted: []spread.Key{{Kind: spread.KindTarget, Name: "t2"}}, Digest: &spread.Digest{1: 2}}
	seed, err := proto.Marshal(EncodeResponse(&resp))
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var msg ExchangeResponse
		if proto.Unmarshal(data, &msg) != nil {
			return
		}
		resp, err := DecodeResponse(&msg)
		if err != nil {
			return
		}
		again, err := DecodeResponse(EncodeResponse(&resp))
		require.NoError(t, err)
		require.Equal(t, resp, again)
	})
}
