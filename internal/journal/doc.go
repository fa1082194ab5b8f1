// Package journal keeps the durable state of a consensus node in one data
// directory: an append-only log in segments, snapshots, and the identity of
// the directory.
//
// A segment starts with a header (magic, format version, number, salt) and
// holds records. A record carries one batch of changes that was written and
// synced as a whole; it has a length, a CRC-32C over salt, length and payload,
// and a batch number that rises by one. The first record of a segment repeats
// the hard state and the position of the snapshot, so older segments can be
// removed once the snapshot covers their entries.
//
// A batch is written only after the batch before it was synced. A damaged
// record is therefore a torn write only if no intact record follows it, and
// is then truncated. Any other damage is corruption, and Open fails. Damage to
// the very last record can't be distinguished from a torn write.
//
// A snapshot is written to a temporary file, synced, renamed, and the
// directory is synced. It takes effect when a record that names it is durable.
// Old snapshots and segments are removed after that.
//
// After a failed sync the operating system may have dropped the data, so the
// journal refuses all requests and the process must exit. After a write that
// fails for lack of space, the segment is truncated to its last intact record,
// and the journal resumes when the refused request has been submitted again
// and written.
package journal
