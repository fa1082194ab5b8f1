package consensus

import "sort"

// entryLog is the in-memory part of the log. It holds the entries after
// (base, baseTerm), which may start before the index of the snapshot.
type entryLog struct {
	base, baseTerm uint64
	entries        []Entry
	// unflushed is the first index that is in no Persist effect yet.
	unflushed uint64
	// stable is the last index known to be durable.
	stable uint64
}

func newEntryLog(base, baseTerm uint64, entries []Entry) entryLog {
	l := entryLog{base: base, baseTerm: baseTerm, entries: entries}
	l.stable = l.lastIndex()
	l.unflushed = l.stable + 1
	return l
}

func (l *entryLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index i, if the log still has it.
func (l *entryLog) term(i uint64) (uint64, bool) {
	if i == l.base {
		return l.baseTerm, true
	}
	if i < l.base || i > l.lastIndex() {
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

func (l *entryLog) matches(i, term uint64) bool {
	t, ok := l.term(i)
	return ok && t == term
}

// from returns the entries from index i on: at most maxEntries, and at most
// maxBytes of data unless the first entry alone is larger.
func (l *entryLog) from(i uint64, maxEntries, maxBytes int) []Entry {
	if i <= l.base || i > l.lastIndex() {
		return nil
	}
	rest := l.entries[i-l.base-1:]
	n, size := 0, 0
	for n < len(rest) && n < maxEntries {
		size += len(rest[n].Data)
		if n > 0 && size > maxBytes {
			break
		}
		n++
	}
	return rest[:n:n]
}

// between returns the entries after lo up to and including hi.
func (l *entryLog) between(lo, hi uint64) []Entry {
	if hi <= lo {
		return nil
	}
	return l.entries[lo-l.base : hi-l.base : hi-l.base]
}

func (l *entryLog) append(e Entry) { l.entries = append(l.entries, e) }

// truncateFrom removes the entries from index i on. It limits the capacity of
// the rest so that the next append copies it, because earlier effects still use
// slices of the log.
func (l *entryLog) truncateFrom(i uint64) {
	keep := i - l.base - 1
	l.entries = l.entries[:keep:keep]
	l.unflushed = min(l.unflushed, i)
	l.stable = min(l.stable, i-1)
}

// reset replaces the whole log by a snapshot.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, unflushed: index + 1, stable: index}
}

// compact drops the entries up to index i.
func (l *entryLog) compact(i uint64) {
	if i <= l.base {
		return
	}
	l.baseTerm, _ = l.term(i)
	l.entries = append([]Entry(nil), l.entries[i-l.base:]...)
	l.base = i
}

// lastAtOrBelow returns the index and term of the last entry up to index i whose
// term is at most term, or those of the base of the log.
func (l *entryLog) lastAtOrBelow(i, term uint64) (index, indexTerm uint64) {
	i = min(i, l.lastIndex())
	if i <= l.base {
		return l.base, l.baseTerm
	}
	n := sort.Search(int(i-l.base), func(k int) bool { return l.entries[k].Term > term })
	index = l.base + uint64(n)
	indexTerm, _ = l.term(index)
	return index, indexTerm
}

// upToDate reports whether a log that ends at (index, term) is at least as
// up-to-date as this one, as a vote requires.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
