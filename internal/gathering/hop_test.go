package gathering

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against answers of a gatherer that leave too late because the way back
// takes longer than a fixed margin, and against a way estimate that leaves the
// searchers no time.
func TestHopsFollowTheWay(t *testing.T) {
	var h Hops
	objective := 100 * time.Millisecond
	require.Zero(t, h.Time("a", objective))
	for range 100 {
		h.Observe("a", 2*time.Millisecond)
	}
	require.InDelta(t, 2*time.Millisecond, h.Time("a", objective), float64(100*time.Microsecond))
	for i := range 200 {
		h.Observe("a", time.Duration(4+4*(i%2))*time.Millisecond)
	}
	require.GreaterOrEqual(t, h.Time("a", objective), 8*time.Millisecond, "all requests are back by then")
	require.Less(t, h.Time("a", objective), 10500*time.Microsecond)
	require.Equal(t, maxConnect, h.Connect("b"), "nothing is known of this failure domain")
	h.Observe("c", time.Millisecond)
	require.Equal(t, minConnect, h.Connect("c"))
	for range 100 {
		h.Observe("a", time.Second)
	}
	require.Equal(t, 25*time.Millisecond, h.Time("a", objective))
	require.Equal(t, maxConnect, h.Connect("a"), "a slow network must not cut off every dial")
	for range 100 {
		h.Observe("a", -time.Millisecond) // the gatherer's clock ran faster
	}
	require.Less(t, h.Time("a", objective), time.Millisecond)
}

// Guards against late answers from gatherers in other failure domains. The load: one third
// of the parts stay in the failure domain and are back after 1 ms, the others take 12 ms
// and up to half of that more, and one request in a hundred loses a packet.
func TestHopsCoverWaysToOtherFailureDomains(t *testing.T) {
	var h Hops
	rng := rand.New(rand.NewPCG(1, 2))
	objective := 80 * time.Millisecond
	late, far := 0, 0
	for i := range 3000 {
		domain, took := "near", time.Millisecond
		if i%3 > 0 {
			domain, took = "far", 12*time.Millisecond+time.Duration(rng.ExpFloat64()*float64(2*time.Millisecond))
		}
		lost := rng.IntN(100) == 0
		if lost {
			took += 200 * time.Millisecond
		}
		if i > 300 && domain == "far" && !lost {
			far++
			if took > h.Time(domain, objective) {
				late++
			}
		}
		h.Observe(domain, took)
	}
	require.Less(t, float64(late)/float64(far), 0.1)
	require.Less(t, h.Time("near", objective), 3*time.Millisecond, "a lost packet must not shorten later requests")
	require.Less(t, h.Time("far", objective), 20*time.Millisecond)
}
