package targethttp

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a scanner that accepts, rejects or decodes a reply differently
// from encoding/json. A few bytes of the replies are changed at random.
func TestDecodeSearchReplyAgreesWithJSON(t *testing.T) {
	texts := rapid.OneOf(rapid.StringMatching(`[a-z ăơ]{0,8}`), rapid.String())
	rapid.Check(t, func(t *rapid.T) {
		reply := SearchReply{
			RequestID: texts.Draw(t, "id"), Attempt: rapid.IntRange(-2, 200).Draw(t, "attempt"),
			Shard: texts.Draw(t, "shard"), Draining: rapid.Bool().Draw(t, "draining"),
		}
		for range rapid.IntRange(0, 20).Draw(t, "hits") {
			reply.Hits = append(reply.Hits, Hit{ID: texts.Draw(t, "hit"), Score: rapid.Float64().Draw(t, "score"), Text: texts.Draw(t, "text")})
		}
		body, err := json.MarshalIndent(reply, "", rapid.SampledFrom([]string{"", " ", "\t"}).Draw(t, "indent"))
		require.NoError(t, err)
		for range rapid.IntRange(0, 3).Draw(t, "changes") {
			i := rapid.IntRange(0, len(body)-1).Draw(t, "position")
			piece := rapid.SampledFrom([]string{"", "0", "1", ".", "-", "e", "+", `"`, "{", "}", "[", "]", ",", ":", "\\", "\x01", "\xff", "null", "true", `"shard":"x",`}).Draw(t, "piece")
			body = append(append(append([]byte{}, body[:i]...), piece...), body[i+rapid.IntRange(0, 1).Draw(t, "removed"):]...)
		}
		var want, got SearchReply
		wantErr := json.Unmarshal(body, &want)
		gotErr := decodeSearchReply(body, &got)
		require.Equal(t, wantErr == nil, gotErr == nil, "%s", body)
		if wantErr == nil {
			require.Equal(t, want, got, "%s", body)
		}
	})
}

// Guards against a request, of any content, whose encoding differs in meaning
// from that of encoding/json.
func TestAppendSearchRequestAgreesWithJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(rapid.String(), rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return string(b) }))
		req := SearchRequest{
			RequestID: text.Draw(t, "id"), Attempt: rapid.Int().Draw(t, "attempt"), Searcher: text.Draw(t, "searcher"),
			IndexSnapshot: "v1", Shard: text.Draw(t, "shard"), Terms: text.Draw(t, "terms"), K: 3, DeadlineMS: 120,
		}
		want, err := json.Marshal(req)
		require.NoError(t, err)
		require.JSONEq(t, string(want), string(req.appendTo(nil)))
	})
}
