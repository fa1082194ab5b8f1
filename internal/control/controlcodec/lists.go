package controlcodec

import (
	"encoding/binary"

	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/membership"
)

// encodeLists writes each list as term, revision, number of hosts and names.
func encodeLists(lists []control.EarlierList) []byte {
	var out []byte
	for _, l := range lists {
		out = binary.AppendUvarint(out, l.ReplacedBy.Term)
		out = binary.AppendUvarint(out, l.ReplacedBy.Revision)
		out = binary.AppendUvarint(out, uint64(len(l.Hosts)))
		for _, h := range l.Hosts {
			out = appendPart(out, []byte(h))
		}
	}
	return out
}

func decodeLists(b []byte) ([]control.EarlierList, error) {
	var out []control.EarlierList
	for len(b) > 0 {
		var numbers [3]uint64
		for i := range numbers {
			n, size := binary.Uvarint(b)
			if size <= 0 {
				return nil, ErrMalformed
			}
			numbers[i], b = n, b[size:]
		}
		l := control.EarlierList{ReplacedBy: membership.Position{Term: numbers[0], Revision: numbers[1]}}
		for range numbers[2] {
			host, rest, err := cutPart(b)
			if err != nil {
				return nil, err
			}
			l.Hosts, b = append(l.Hosts, string(host)), rest
		}
		out = append(out, l)
	}
	return out, nil
}
