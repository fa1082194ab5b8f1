package targethttp

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"unicode/utf8"
)

// A host sends hundreds of sub-requests per query, so search requests and replies
// are encoded and decoded without reflection. Anything unusual, such as an escape
// sequence or an unknown field, is left to encoding/json.

// appendTo appends the request as JSON.
func (r *SearchRequest) appendTo(b []byte) []byte {
	b = appendString(append(b, `{"request_id":`...), r.RequestID)
	b = strconv.AppendInt(append(b, `,"attempt":`...), int64(r.Attempt), 10)
	b = appendString(append(b, `,"searcher":`...), r.Searcher)
	b = appendString(append(b, `,"index_snapshot":`...), r.IndexSnapshot)
	b = appendString(append(b, `,"shard":`...), r.Shard)
	b = appendString(append(b, `,"terms":`...), r.Terms)
	b = strconv.AppendInt(append(b, `,"k":`...), int64(r.K), 10)
	b = strconv.AppendInt(append(b, `,"deadline_ms":`...), r.DeadlineMS, 10)
	return append(b, '}')
}

// sizeHint estimates the length of the encoded request. Strings that need
// escapes take more.
func (r *SearchRequest) sizeHint() int {
	const fields = 160
	return fields + len(r.RequestID) + len(r.Searcher) + len(r.IndexSnapshot) + len(r.Shard) + len(r.Terms)
}

func appendString(b []byte, s string) []byte {
	if !plain(s) {
		quoted, err := json.Marshal(s)
		if err != nil { // can't happen for a string
			return append(b, `""`...)
		}
		return append(b, quoted...)
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// plain reports whether a string needs no escapes in JSON.
func plain(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] == '"' || s[i] == '\\' {
			return false
		}
	}
	return utf8.ValidString(s)
}

// decodeSearchReply decodes a reply. All strings of a reply without escapes share
// one copy of the body.
func decodeSearchReply(body []byte, out *SearchReply) error {
	if utf8.Valid(body) && bytes.IndexByte(body, '\\') < 0 {
		s := scanner{text: string(body)}
		var reply SearchReply
		if s.reply(&reply) {
			*out = reply
			return nil
		}
	}
	return json.Unmarshal(body, out)
}

// scanner parses the JSON of a SearchReply without escapes. Its methods return
// false for anything that they don't expect, even if it is valid JSON.
type scanner struct {
	text string
	pos  int
}

func (s *scanner) reply(out *SearchReply) bool {
	ok := s.object(func(key string) bool {
		switch key {
		case "request_id":
			return s.string(&out.RequestID)
		case "attempt":
			return s.int(&out.Attempt)
		case "index_snapshot":
			return s.string(&out.IndexSnapshot)
		case "shard":
			return s.string(&out.Shard)
		case "hits":
			return s.hits(&out.Hits)
		case "draining":
			return s.bool(&out.Draining)
		default:
			return false
		}
	})
	s.space()
	return ok && s.pos == len(s.text)
}

func (s *scanner) hits(out *[]Hit) bool {
	if !s.take('[') {
		return false
	}
	*out = []Hit{}
	if s.take(']') {
		return true
	}
	for {
		var h Hit
		if !s.hit(&h) {
			return false
		}
		if len(*out) == cap(*out) {
			*out = append(make([]Hit, 0, max(16, 2*cap(*out))), *out...)
		}
		*out = append(*out, h)
		if !s.take(',') {
			return s.take(']')
		}
	}
}

func (s *scanner) hit(out *Hit) bool {
	return s.object(func(key string) bool {
		switch key {
		case "id":
			return s.string(&out.ID)
		case "score":
			return s.float(&out.Score)
		case "text":
			return s.string(&out.Text)
		default:
			return false
		}
	})
}

// object reads an object and calls value to read each field's value. A
// repeated field is left to encoding/json, which merges it.
func (s *scanner) object(value func(key string) bool) bool {
	if !s.take('{') {
		return false
	}
	if s.take('}') {
		return true
	}
	var seen [8]string
	for n := 0; ; n++ {
		var key string
		if n == len(seen) || !s.string(&key) || !s.take(':') {
			return false
		}
		for _, k := range seen[:n] {
			if k == key {
				return false
			}
		}
		seen[n] = key
		if !value(key) {
			return false
		}
		if !s.take(',') {
			return s.take('}')
		}
	}
}

func (s *scanner) space() {
	for s.pos < len(s.text) {
		switch s.text[s.pos] {
		case ' ', '\t', '\n', '\r':
			s.pos++
		default:
			return
		}
	}
}

// take consumes optional white space and c, and reports whether c followed.
func (s *scanner) take(c byte) bool {
	s.space()
	if s.pos == len(s.text) || s.text[s.pos] != c {
		return false
	}
	s.pos++
	return true
}

func (s *scanner) string(out *string) bool {
	if !s.take('"') {
		return false
	}
	for i := s.pos; i < len(s.text); i++ {
		switch c := s.text[i]; {
		case c == '"':
			*out = s.text[s.pos:i]
			s.pos = i + 1
			return true
		case c < ' ':
			return false
		}
	}
	return false
}

func (s *scanner) bool(out *bool) bool {
	s.space()
	rest := s.text[s.pos:]
	switch {
	case strings.HasPrefix(rest, "true"):
		*out = true
		s.pos += len("true")
	case strings.HasPrefix(rest, "false"):
		*out = false
		s.pos += len("false")
	default:
		return false
	}
	return true
}

func (s *scanner) int(out *int) bool {
	n, err := strconv.Atoi(s.number())
	*out = n
	return err == nil
}

func (s *scanner) float(out *float64) bool {
	f, err := strconv.ParseFloat(s.number(), 64)
	*out = f
	return err == nil
}

// number returns the text of a number, or an empty string if it does not
// follow the JSON grammar, which is stricter than strconv.
func (s *scanner) number() string {
	s.space()
	start := s.pos
	s.skip('-')
	intStart := s.pos
	if n := s.digits(); n == 0 || n > 1 && s.text[intStart] == '0' {
		return ""
	}
	if s.skip('.') && s.digits() == 0 {
		return ""
	}
	if s.skip('e') || s.skip('E') {
		if !s.skip('-') {
			s.skip('+')
		}
		if s.digits() == 0 {
			return ""
		}
	}
	return s.text[start:s.pos]
}

func (s *scanner) skip(c byte) bool {
	if s.pos < len(s.text) && s.text[s.pos] == c {
		s.pos++
		return true
	}
	return false
}

func (s *scanner) digits() int {
	start := s.pos
	for s.pos < len(s.text) && s.text[s.pos] >= '0' && s.text[s.pos] <= '9' {
		s.pos++
	}
	return s.pos - start
}
