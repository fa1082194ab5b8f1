package config

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a result that is lost, or found under another change's ID,
// while old records are dropped: the hash table is compared with maps. A small
// key space makes probing sequences collide.
func TestRecordAgreesWithMaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRecordTable(40)
		r.clock = start
		type key struct {
			base    uint64
			content Hash
		}
		ids, bases := map[Hash]uint64{}, map[key]uint64{}
		var all []Record
		for seq := range uint64(rapid.IntRange(1, 300).Draw(t, "records")) {
			id := Hash{byte(seq % 7), 1: byte(rapid.IntRange(0, 1).Draw(t, "probe")), 12: byte(seq), 13: byte(seq >> 8)}
			e := Record{ID: id, Content: Hash{byte(rapid.IntRange(0, 3).Draw(t, "content"))}, Base: uint64(rapid.IntRange(0, 9).Draw(t, "base")), At: start.UnixNano(), Revision: seq + 1}
			r.push(e)
			r.trim(seq + 1)
			all = append(all, e)
			ids[e.ID], bases[key{e.Base, e.Content}] = seq, seq
			for _, old := range all[max(0, len(all)-60):] {
				check := func(got *Record, ok bool, last uint64) {
					if ok != (last+40 > seq) || ok && *got != all[last] {
						t.Fatalf("record %d: found %v %v after record %d", last, ok, got, seq)
					}
				}
				got, ok := r.byID(old.ID)
				check(got, ok, ids[old.ID])
				got, ok = r.byBase(old.Base, old.Content)
				check(got, ok, bases[key{old.Base, old.Content}])
			}
		}
		require.LessOrEqual(t, len(r.entries), 40)
		require.LessOrEqual(t, r.ids.used, 40)
	})
}

// Guards against a change being applied again after its result was dropped to
// keep the table bounded.
func TestDroppedResultsMakeTheirBasesUnusable(t *testing.T) {
	f := newFeed()
	f.records.limit = 5
	first := change("c0", "red", 0, putGroup("a", "red", "1"))
	require.Equal(t, Accepted, f.push(first).Outcome)
	for i := range uint64(8) {
		require.Equal(t, Accepted, f.push(change("g"+time.Duration(i).String(), "red", f.Revision(), putGroup("a", "red", time.Duration(i).String()))).Outcome)
	}
	again := f.push(first)
	require.Equal(t, CodeBaseTooOld, again.Code)
	require.True(t, again.Final)
	for range 20 {
		require.Equal(t, Refused, f.push(change("r"+time.Duration(f.n).String(), "blue", f.Revision(), putGroup("a", "blue", "1"))).Outcome)
	}
	require.Equal(t, Accepted, f.push(change("last", "red", f.Revision(), putGroup("a", "red", "x"))).Outcome, "refused changes made the current revision unusable")
}
