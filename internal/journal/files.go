package journal

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
)

// Names of the files in a data directory.
const (
	lockName       = "lock"
	identityName   = "identity"
	firstStartName = "first-start"
	temporaryExt   = ".tmp"
	segmentFormat  = "segment-%016x.log"
	snapshotFormat = "snapshot-%016x-%016x.snap"
	snapshotMagic  = "HLJSNAP1"
)

func segmentName(number uint64) string { return fmt.Sprintf(segmentFormat, number) }

func snapshotName(index, term uint64) string { return fmt.Sprintf(snapshotFormat, index, term) }

// parseName reads the numbers in a file name. The name must match the format
// exactly, because Sscanf accepts trailing text.
func parseName(name, format string, values ...*uint64) bool {
	args := make([]any, len(values))
	for i, v := range values {
		args[i] = v
	}
	if _, err := fmt.Sscanf(name, format, args...); err != nil {
		return false
	}
	for i, v := range values {
		args[i] = *v
	}
	return fmt.Sprintf(format, args...) == name
}

// directory is a data directory on a file system.
type directory struct {
	fs   FS
	path string
}

func (d directory) join(name string) string { return filepath.Join(d.path, name) }

func (d directory) corrupt(name string, offset int, reason string) error {
	return &CorruptError{File: d.join(name), Offset: int64(offset), Reason: reason}
}

// listing holds the names of the journal's files in a data directory.
type listing struct {
	identity   bool
	firstStart bool
	segments   []uint64 // ascending
	snapshots  []string
	temporary  []string
}

func (d directory) list() (listing, error) {
	var l listing
	names, err := d.fs.ReadDir(d.path)
	if err != nil {
		return l, err
	}
	for _, name := range names {
		var number, term uint64
		switch {
		case name == identityName:
			l.identity = true
		case name == firstStartName:
			l.firstStart = true
		case strings.HasSuffix(name, temporaryExt):
			l.temporary = append(l.temporary, name)
		case parseName(name, segmentFormat, &number):
			l.segments = append(l.segments, number)
		case parseName(name, snapshotFormat, &number, &term):
			l.snapshots = append(l.snapshots, name)
		}
	}
	return l, nil
}

// replace writes a file atomically, so that a crash never leaves part of it
// under that name.
func (d directory) replace(name string, content []byte) error {
	temporary := d.join(name + temporaryExt)
	if err := d.writeSynced(temporary, content); err != nil {
		return errors.CombineErrors(err, d.fs.Remove(temporary))
	}
	if err := d.fs.Rename(temporary, d.join(name)); err != nil {
		return err
	}
	if err := d.fs.SyncDir(d.path); err != nil {
		return &FatalError{Op: "sync of the data directory", cause: err}
	}
	return nil
}

func (d directory) writeSynced(path string, content []byte) error {
	f, err := d.fs.Create(path)
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	if err == nil {
		// A full disk leaves a file that is not in use yet.
		if err = f.Sync(); err != nil && !noSpace(err) {
			err = &FatalError{Op: "sync of " + filepath.Base(path), cause: err}
		}
	}
	return errors.CombineErrors(err, f.Close())
}

const identityBytes = 16

// createIdentity creates the identity of an empty data directory.
func (d directory) createIdentity() (consensus.Identity, error) {
	var random [identityBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", err
	}
	id := hex.EncodeToString(random[:])
	content := fmt.Sprintf("%s %08x\n", id, crc32.Checksum([]byte(id), castagnoli))
	return consensus.Identity(id), d.replace(identityName, []byte(content))
}

func (d directory) readIdentity() (consensus.Identity, error) {
	content, err := d.fs.ReadFile(d.join(identityName))
	if err != nil {
		return "", err
	}
	id, sum, _ := strings.Cut(strings.TrimSuffix(string(content), "\n"), " ")
	if len(id) != 2*identityBytes || sum != fmt.Sprintf("%08x", crc32.Checksum([]byte(id), castagnoli)) {
		return "", d.corrupt(identityName, 0, "the identity is damaged")
	}
	return consensus.Identity(id), nil
}

// writeSnapshot makes a snapshot file durable and returns its size.
func (d directory) writeSnapshot(s consensus.Snapshot) (int, error) {
	b := make([]byte, 0, len(s.Data)+256)
	b = append(b, snapshotMagic...)
	b = binary.AppendUvarint(b, s.Index)
	b = binary.AppendUvarint(b, s.Term)
	b = appendVoters(b, s.Voters)
	b = appendBytes(b, s.Data)
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
	return len(b), d.replace(snapshotName(s.Index, s.Term), b)
}

func (d directory) readSnapshot(index, term uint64) (*consensus.Snapshot, error) {
	name := snapshotName(index, term)
	b, err := d.fs.ReadFile(d.join(name))
	if err != nil {
		return nil, errors.Wrapf(err, "journal: read snapshot %s, which the log names", name)
	}
	s, ok := decodeSnapshot(b)
	if !ok || s.Index != index || s.Term != term {
		return nil, d.corrupt(name, 0, "the snapshot is damaged")
	}
	return s, nil
}

func decodeSnapshot(b []byte) (*consensus.Snapshot, bool) {
	if len(b) < len(snapshotMagic)+4 || string(b[:len(snapshotMagic)]) != snapshotMagic {
		return nil, false
	}
	content, sum := b[:len(b)-4], binary.LittleEndian.Uint32(b[len(b)-4:])
	if crc32.Checksum(content, castagnoli) != sum {
		return nil, false
	}
	d := decoder{b: content[len(snapshotMagic):]}
	s := &consensus.Snapshot{Index: d.uvarint(), Term: d.uvarint(), Voters: d.voters(), Data: d.bytes()}
	return s, d.err == nil && len(d.b) == 0
}
