package membershiprpc

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/hawthornlock/hawthornlock/internal/membership"
)

func fullHeartbeat() membership.Heartbeat {
	self := membership.Member{
		Host: "host-1", Incarnation: 9, PeerAddress: netip.MustParseAddrPort("[2001:db8::1]:7000"), Region: "south",
		FailureDomain: "long-an", Roles: membership.RoleEntry | membership.RoleRelay, State: membership.Suspect,
	}
	return membership.Heartbeat{
		Host: "host-1", Incarnation: 9, Self: &self, Introduce: true, Token: 1 << 60, Echo: 1<<60 - 1,
		Applied: membership.Position{Term: 1, Revision: 2}, Seen: membership.Position{Term: 3, Revision: 4},
		MemberEpoch: 5, ShareEpoch: 4, Ready: true, Digest: 1 << 63, Silent: []string{"host-2"},
		Heard:   []membership.LastHeard{{Host: "host-3", Age: 250 * time.Millisecond}},
		Updates: []membership.Member{self},
		Reports: []membership.RegionReport{{
			Region: "south", Epoch: 5, Heard: 4, Confirmed: 3, SawNewest: 2, SharesInUse: 1,
			Seen: membership.Position{Term: 3, Revision: 4}, Age: time.Second,
		}},
	}
}

// Guards against fields that are lost between two hosts.
func TestHeartbeatRoundTrip(t *testing.T) {
	want := fullHeartbeat()
	server := httptest.NewServer(NewHandler(func(_ context.Context, hb membership.Heartbeat) (membership.Heartbeat, error) {
		require.Equal(t, want, hb)
		return hb, nil
	}))
	defer server.Close()
	got, err := Exchange(t.Context(), server.Client(), server.URL, &want)
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// Guards against ages that are rounded down, which makes evidence look newer.
func TestAgesAreRoundedUp(t *testing.T) {
	require.Equal(t, 2*time.Millisecond, decodeAge(encodeAge(time.Millisecond+1)))
	require.Equal(t, maxAge, decodeAge(encodeAge(1000*time.Hour)))
}

// Guards against input that makes the decoder panic or exceed the bounds.
func FuzzDecodeHeartbeat(f *testing.F) {
	hb := fullHeartbeat()
	seed, err := proto.Marshal(Encode(&hb))
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var msg Heartbeat
		if proto.Unmarshal(data, &msg) != nil {
			return
		}
		hb, err := Decode(&msg)
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(hb.Updates), membership.MaxUpdates)
		again, err := Decode(Encode(&hb))
		require.NoError(t, err)
		require.Equal(t, hb, again)
		s := membership.NewState(time.Unix(1, 0), membership.Settings{Self: membership.Member{Host: "self"}})
		s.Step(time.Unix(1, 0), membership.HeartbeatReceived{Call: 1, Heartbeat: hb})
	})
}
