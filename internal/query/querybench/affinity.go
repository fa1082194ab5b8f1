package querybench

import (
	"container/list"
	"math"
	"strconv"

	"github.com/hawthornlock/hawthornlock/internal/query"
)

// Parameters of the model of caching targets.
const (
	cacheEntries  = 200
	cachedFactor  = 0.3 // of the service time when the terms are cached
	distinctTerms = 5000
	termsExponent = 1.1 // of the Zipf distribution of terms
)

// cache is the LRU cache of the terms that a searcher served.
type cache struct {
	order *list.List
	terms map[int]*list.Element
}

func newCache() *cache { return &cache{order: list.New(), terms: map[int]*list.Element{}} }

// factor returns the factor on the service time.
func (c *cache) factor(terms int) float64 {
	if _, ok := c.terms[terms]; ok {
		return cachedFactor
	}
	return 1
}

func (c *cache) add(terms int) {
	if e, ok := c.terms[terms]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.terms[terms] = c.order.PushFront(terms)
	if c.order.Len() > cacheEntries {
		last := c.order.Back()
		delete(c.terms, last.Value.(int))
		c.order.Remove(last)
	}
}

// termSource draws the terms of queries from a Zipf distribution.
type termSource struct{ cumulative []float64 }

func newTermSource() *termSource {
	t := &termSource{cumulative: make([]float64, distinctTerms)}
	sum := 0.0
	for i := range t.cumulative {
		sum += math.Pow(float64(i+1), -termsExponent)
		t.cumulative[i] = sum
	}
	return t
}

// draw maps a number in [0, 1) to terms.
func (t *termSource) draw(u float64) int {
	want := u * t.cumulative[len(t.cumulative)-1]
	low, high := 0, len(t.cumulative)-1
	for low < high {
		mid := (low + high) / 2
		if t.cumulative[mid] < want {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// terms returns the terms of a query.
func (b *bench) terms(queryID int) int {
	if b.termDist == nil {
		b.termDist = newTermSource()
	}
	return b.termDist.draw(unit(b.hash(queryID, 0, 7)))
}

// affinityChooser returns an affinity chooser for one query.
func (b *bench) affinityChooser(a *activeQuery) query.Chooser {
	balancer := a.host.balancer.(*twoChoices)
	inFlight := func(r *query.Replica) int { return int(balancer.cost(b.time(), r)) }
	return query.NewAffinityChooser(strconv.Itoa(b.terms(a.id)), balancer, inFlight, b.c.Policy.Overflow)
}
