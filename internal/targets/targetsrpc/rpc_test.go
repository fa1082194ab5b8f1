package targetsrpc

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/hawthornlock/hawthornlock/internal/targets"
)

func fullRecord() *targets.Record {
	return &targets.Record{
		Announcement: targets.Announcement{
			Target: "t1", Incarnation: 3, Seq: 7, Address: netip.MustParseAddrPort("10.0.0.1:80"), FailureDomain: "oita",
			Labels: map[string]string{"a": "b"}, ConnectionLimit: 30, Phase: targets.Cold,
			Searchers: []targets.Searcher{{Name: "s0", Slots: 2, Holds: []targets.Holding{
				{IndexSnapshot: "v2", Shards: []string{"x", "y"}}, {IndexSnapshot: "v1", Shards: []string{"x"}},
			}}},
			IndexSnapshots: []targets.IndexSnapshot{{Name: "v1", Generation: 1}, {Name: "v2", Generation: 2}},
			Reported:       targets.Reported{Healthy: true, Load: 0.5},
		},
		Status:       targets.StatusDraining,
		LayoutHashes: []uint64{11, 12},
	}
}

// Guards against fields of renewals, records and layouts that are lost when they
// are sent between two hosts.
func TestMessagesRoundTrip(t *testing.T) {
	want := targets.RenewalsReceived{From: "h1", Renewals: []targets.Renewal{{Target: "t1", Incarnation: 1, Seq: 2, ContentHash: 3}}}
	var got targets.RenewalsReceived
	server := httptest.NewServer(NewHandler(func(_ context.Context, ev targets.RenewalsReceived) error {
		got = ev
		return nil
	}))
	defer server.Close()
	require.NoError(t, Forward(t.Context(), server.Client(), server.URL, want.From, want.Renewals))
	require.Equal(t, want, got)
	tooMany := make([]targets.Renewal, targets.MaxRenewalsBatch+1)
	require.Error(t, Forward(t.Context(), server.Client(), server.URL, "h1", tooMany))
	rec, err := DecodeRecord(EncodeRecord(fullRecord()))
	require.NoError(t, err)
	require.Equal(t, fullRecord(), rec)
	layout := targets.NewLayout("v1", 4, []string{"a", "b"})
	again, err := DecodeLayout(EncodeLayout(layout))
	require.NoError(t, err)
	require.Equal(t, layout, again)
}

// Guards against input that makes the decoder or the registry panic.
func FuzzDecodeRecord(f *testing.F) {
	seed, err := proto.Marshal(EncodeRecord(fullRecord()))
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var msg Record
		if proto.Unmarshal(data, &msg) != nil {
			return
		}
		rec, err := DecodeRecord(&msg)
		if err != nil {
			return
		}
		r := targets.NewRegistry("h1")
		r.Step(time.Unix(1, 0), targets.LayoutCommitted{Layout: targets.NewLayout("v1", 1, []string{"x"})})
		r.Step(time.Unix(1, 0), targets.RecordReceived{From: "h2", Record: rec})
		_, _, known := r.Record(time.Unix(1, 0), rec.Target)
		require.True(t, known)
	})
}
