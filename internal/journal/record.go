package journal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"math"
)

// Sizes and magic strings of the segment format.
const (
	formatVersion = 1
	segmentMagic  = "HLJSEGMT"
	recordMagic   = "HLJR"

	// segment header: magic, version, number, salt, CRC of the fields before it
	segmentHeaderSize = 8 + 4 + 8 + 4 + 4
	// record header: magic, payload length, CRC of salt, length and payload
	recordHeaderSize = 4 + 4 + 4

	maxRecordBytes = math.MaxInt32
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one synced batch of changes.
type record struct {
	batch   uint64
	changes []change
}

func appendSegmentHeader(b []byte, number uint64, salt uint32) []byte {
	start := len(b)
	b = append(b, segmentMagic...)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	b = binary.LittleEndian.AppendUint64(b, number)
	b = binary.LittleEndian.AppendUint32(b, salt)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
}

// readSegmentHeader returns the salt of a segment, or the reason why the header
// is not usable.
func readSegmentHeader(b []byte, number uint64) (salt uint32, problem string) {
	if len(b) < segmentHeaderSize {
		return 0, "the segment header is truncated"
	}
	header := b[:segmentHeaderSize]
	sum := binary.LittleEndian.Uint32(header[segmentHeaderSize-4:])
	if string(header[:8]) != segmentMagic || crc32.Checksum(header[:segmentHeaderSize-4], castagnoli) != sum {
		return 0, "the segment header is damaged"
	}
	if v := binary.LittleEndian.Uint32(header[8:]); v != formatVersion {
		return 0, "the format version is not supported"
	}
	if binary.LittleEndian.Uint64(header[12:]) != number {
		return 0, "the segment number differs from the file name"
	}
	return binary.LittleEndian.Uint32(header[20:]), ""
}

// recordSum returns the checksum of a record. It covers the salt, so that
// record bytes inside the data of an entry are never read as a record of this
// segment.
func recordSum(salt uint32, length, payload []byte) uint32 {
	var s [4]byte
	binary.LittleEndian.PutUint32(s[:], salt)
	sum := crc32.Update(0, castagnoli, s[:])
	sum = crc32.Update(sum, castagnoli, length)
	return crc32.Update(sum, castagnoli, payload)
}

// appendRecord encodes a record at the end of b.
func appendRecord(b []byte, salt uint32, r record) []byte {
	start := len(b)
	b = append(b, recordMagic...)
	b = append(b, make([]byte, recordHeaderSize-len(recordMagic))...)
	b = binary.AppendUvarint(b, r.batch)
	b = binary.AppendUvarint(b, uint64(len(r.changes)))
	for _, c := range r.changes {
		b = appendChange(b, c)
	}
	header, payload := b[start:start+recordHeaderSize], b[start+recordHeaderSize:]
	binary.LittleEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[8:], recordSum(salt, header[4:8], payload))
	return b
}

// readRecord decodes the record at the start of b and returns its size in
// bytes. The decoded entries share memory with b.
func readRecord(b []byte, salt uint32) (record, int, bool) {
	if len(b) < recordHeaderSize || string(b[:4]) != recordMagic {
		return record{}, 0, false
	}
	length := uint64(binary.LittleEndian.Uint32(b[4:]))
	if length > maxRecordBytes || length > uint64(len(b)-recordHeaderSize) {
		return record{}, 0, false
	}
	size := recordHeaderSize + int(length)
	payload := b[recordHeaderSize:size]
	if recordSum(salt, b[4:8], payload) != binary.LittleEndian.Uint32(b[8:]) {
		return record{}, 0, false
	}
	d := decoder{b: payload}
	r := record{batch: d.uvarint()}
	n := d.count()
	for i := 0; i < n && d.err == nil; i++ {
		r.changes = append(r.changes, d.change())
	}
	if d.err != nil || len(d.b) > 0 {
		return record{}, 0, false
	}
	return r, size, true
}

// findIntactRecord returns the offset of the first intact record in b, or -1.
func findIntactRecord(b []byte, salt uint32) int {
	for at := 0; ; {
		next := bytes.Index(b[at:], []byte(recordMagic))
		if next < 0 {
			return -1
		}
		at += next
		if _, _, ok := readRecord(b[at:], salt); ok {
			return at
		}
		at++
	}
}

// readSegment calls visit for each record of a segment. It returns the offset
// after the last intact record. If bytes follow that are not an intact record,
// problem says why.
func readSegment(b []byte, number uint64, visit func(offset int, r record) error) (end int, problem string, err error) {
	salt, problem := readSegmentHeader(b, number)
	if problem != "" {
		return 0, problem, nil
	}
	at := segmentHeaderSize
	for at < len(b) {
		r, size, ok := readRecord(b[at:], salt)
		if !ok {
			return at, "a record is damaged or truncated", nil
		}
		if err := visit(at, r); err != nil {
			return at, "", err
		}
		at += size
	}
	return at, "", nil
}
