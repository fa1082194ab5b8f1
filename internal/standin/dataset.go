// Package standin provides targets for tests, the demo and load experiments.
// They implement the target protocol over HTTP and search the character names of
// the Unicode standard, so every answer can be compared with a full scan.
package standin

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"unicode"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/text/unicode/runenames"
)

// Record is one Unicode character.
type Record struct {
	ID    string // code point, such as U+00E9
	Name  string // upper-case character name
	words []string
}

// Match is a record that contains every search term. Its score in (0, 1] is the
// ratio of search terms to words in the name.
type Match struct {
	ID    string
	Score float64
	Text  string
}

// Dataset is a list of records split into shards by a hash of their IDs.
type Dataset struct {
	records []Record
	layout  []string
	shards  map[string][]Record
}

var unicodeRecords = sync.OnceValue(func() []Record {
	var out []Record
	for r := rune(0); r <= unicode.MaxRune; r++ {
		name := runenames.Name(r)
		// Names in angle brackets denote whole ranges, such as controls.
		if name == "" || strings.HasPrefix(name, "<") {
			continue
		}
		out = append(out, Record{ID: fmt.Sprintf("U+%04X", r), Name: name, words: strings.Fields(name)})
	}
	return out
})

// NewDataset splits the Unicode character names into n shards whose names
// start with prefix.
func NewDataset(prefix string, n int) *Dataset {
	d := &Dataset{records: unicodeRecords(), shards: make(map[string][]Record, n)}
	for i := range n {
		d.layout = append(d.layout, fmt.Sprintf("%s%03d", prefix, i))
	}
	for _, r := range d.records {
		shard := d.layout[xxhash.Sum64String(r.ID)%uint64(n)]
		d.shards[shard] = append(d.shards[shard], r)
	}
	return d
}

// Layout returns the names of all shards.
func (d *Dataset) Layout() []string { return slices.Clone(d.layout) }

// Len returns the number of records.
func (d *Dataset) Len() int { return len(d.records) }

// SearchShard returns the best k matches of one shard, and false if the
// dataset has no such shard.
func (d *Dataset) SearchShard(shard, terms string, k int) ([]Match, bool) {
	records, ok := d.shards[shard]
	if !ok {
		return nil, false
	}
	return search(records, terms, k), true
}

// FullScan returns the best k matches of all shards except the given ones.
func (d *Dataset) FullScan(terms string, k int, without ...string) []Match {
	if len(without) == 0 {
		return search(d.records, terms, k)
	}
	var rest []Record
	for _, shard := range d.layout {
		if !slices.Contains(without, shard) {
			rest = append(rest, d.shards[shard]...)
		}
	}
	return search(rest, terms, k)
}

func search(records []Record, terms string, k int) []Match {
	want := strings.Fields(strings.ToUpper(terms))
	var out []Match
	for _, r := range records {
		if score := r.score(want); score > 0 {
			out = append(out, Match{ID: r.ID, Score: score, Text: r.Name})
		}
	}
	slices.SortFunc(out, func(a, b Match) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	return out[:min(k, len(out))]
}

func (r *Record) score(want []string) float64 {
	if len(want) == 0 {
		return 0
	}
	for _, w := range want {
		if !slices.Contains(r.words, w) {
			return 0
		}
	}
	return min(1, float64(len(want))/float64(len(r.words)))
}
