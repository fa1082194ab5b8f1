package config

import (
	"iter"
	"slices"
	"strings"

	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// requirement is a label that a selector requires. The team has the empty key.
type requirement struct{ key, value string }

type nameSet map[string]struct{}

// selectorIndex finds the selectors that may overlap a given one of equal
// specificity without scanning all of them: recovery applies tens of thousands
// of changes to thousands of selectors within a second.
type selectorIndex struct {
	buckets   map[string]*bucket  // by the keys that the selectors require
	locations map[string]location // by selector name
}

// location is the place of a selector in the index.
type location struct {
	key  string
	reqs []requirement
}

// bucket holds selectors that require the same keys.
type bucket struct {
	keys     []string
	names    nameSet
	postings map[requirement]nameSet
}

func newSelectorIndex() selectorIndex {
	return selectorIndex{buckets: map[string]*bucket{}, locations: map[string]location{}}
}

func requirements(s routing.Selector) []requirement {
	out := make([]requirement, 0, len(s.Match)+1)
	if s.Team != "" {
		out = append(out, requirement{"", s.Team})
	}
	for _, k := range sortedKeys(s.Match) {
		out = append(out, requirement{k, s.Match[k]})
	}
	return out
}

func bucketKey(reqs []requirement) string {
	var b strings.Builder
	for _, r := range reqs {
		b.WriteString(r.key)
		b.WriteByte(0)
	}
	return b.String()
}

func (x selectorIndex) add(s routing.Selector) {
	reqs := requirements(s)
	key := bucketKey(reqs)
	b := x.buckets[key]
	if b == nil {
		b = &bucket{names: nameSet{}, postings: map[requirement]nameSet{}}
		for _, r := range reqs {
			b.keys = append(b.keys, r.key)
		}
		x.buckets[key] = b
	}
	x.locations[s.Name] = location{key, reqs}
	b.names[s.Name] = struct{}{}
	for _, r := range reqs {
		if b.postings[r] == nil {
			b.postings[r] = nameSet{}
		}
		b.postings[r][s.Name] = struct{}{}
	}
}

func (x selectorIndex) remove(name string) {
	loc := x.locations[name]
	delete(x.locations, name)
	b := x.buckets[loc.key]
	delete(b.names, name)
	if len(b.names) == 0 {
		delete(x.buckets, loc.key)
		return
	}
	for _, r := range loc.reqs {
		delete(b.postings[r], name)
		if len(b.postings[r]) == 0 {
			delete(b.postings, r)
		}
	}
}

// candidates yields the names of all selectors of equal specificity that may
// overlap s, in no particular order.
func (x selectorIndex) candidates(s routing.Selector) iter.Seq[string] {
	reqs := requirements(s)
	return func(yield func(string) bool) {
		for _, b := range x.buckets {
			if len(b.keys) != len(reqs) {
				continue
			}
			for name := range b.candidates(reqs) {
				if !yield(name) {
					return
				}
			}
		}
	}
}

// candidates returns the smallest set of names that share one of the
// requirements, or all names if the bucket has none of their keys.
func (b *bucket) candidates(reqs []requirement) nameSet {
	smallest := b.names
	for _, r := range reqs {
		if !slices.Contains(b.keys, r.key) {
			continue
		}
		if p := b.postings[r]; len(p) < len(smallest) {
			smallest = p
		}
	}
	return smallest
}
