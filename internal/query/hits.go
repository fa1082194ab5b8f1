package query

import (
	"cmp"
	"slices"
	"strings"
)

// topHits keeps the best k hits in a heap whose root is the worst of them.
type topHits struct {
	k    int
	heap []Hit
}

func (t *topHits) reset(k int) {
	t.k = k
	t.heap = t.heap[:0]
}

func (t *topHits) add(hits []Hit) {
	for i := range hits {
		t.addOne(&hits[i])
	}
}

func (t *topHits) addOne(h *Hit) {
	if len(t.heap) < t.k {
		t.heap = append(t.heap, *h)
		t.up(len(t.heap) - 1)
		return
	}
	if t.k > 0 && compareHits(h, &t.heap[0]) < 0 {
		t.heap[0] = *h
		t.down()
	}
}

func (t *topHits) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if compareHits(&t.heap[i], &t.heap[parent]) <= 0 {
			return
		}
		t.heap[i], t.heap[parent] = t.heap[parent], t.heap[i]
		i = parent
	}
}

func (t *topHits) down() {
	i := 0
	for {
		worst, left, right := i, 2*i+1, 2*i+2
		if left < len(t.heap) && compareHits(&t.heap[left], &t.heap[worst]) > 0 {
			worst = left
		}
		if right < len(t.heap) && compareHits(&t.heap[right], &t.heap[worst]) > 0 {
			worst = right
		}
		if worst == i {
			return
		}
		t.heap[i], t.heap[worst] = t.heap[worst], t.heap[i]
		i = worst
	}
}

// sorted returns the hits in order, best first.
func (t *topHits) sorted() []Hit {
	slices.SortFunc(t.heap, func(a, b Hit) int { return compareHits(&a, &b) })
	return t.heap
}

// compareHits orders hits by score, descending, then by ID. A score that is
// not a number comes last.
func compareHits(a, b *Hit) int {
	if d := cmp.Compare(b.Score, a.Score); d != 0 {
		return d
	}
	return strings.Compare(a.ID, b.ID)
}
