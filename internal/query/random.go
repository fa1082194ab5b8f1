package query

import (
	"math/rand/v2"
	"sync"
	"time"
)

// RandomChooser is a Chooser that picks at random. It is safe for concurrent use.
type RandomChooser struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// NewRandomChooser returns a chooser that owns rng.
func NewRandomChooser(rng *rand.Rand) *RandomChooser { return &RandomChooser{rng: rng} }

// Pick returns the index of a random candidate, or false if there is none.
func (c *RandomChooser) Pick(_ time.Time, candidates []Replica, _ string) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(len(candidates)), true
}
