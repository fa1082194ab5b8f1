package targethttp

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/targets"
)

const valid = `{"target":"t1","incarnation":3,"seq":7,"address":"10.0.0.1:80","failure_domain":"oita","labels":{"a":"b"},
"connection_limit":30,"state":"ready","searchers":[{"searcher":"s0","slots":2,"holds":[{"index_snapshot":"v1","shards":["x"]}]}],
"index_snapshots":[{"index_snapshot":"v1","layout":["x","y"],"generation":4}],"reported":{"healthy":true,"load":0.5}}`

// Guards against fields of an announcement that are lost during decoding.
func TestDecodeKeepsEveryField(t *testing.T) {
	a, err := DecodeAnnouncement(strings.NewReader(valid))
	require.NoError(t, err)
	require.NoError(t, a.Validate())
	require.Equal(t, "t1 3 7 10.0.0.1:80 oita b 30 ready", strings.Join([]string{
		a.Target, "3", "7", a.Address.String(), a.FailureDomain, a.Labels["a"], "30", string(a.Phase),
	}, " "))
	require.Equal(t, []targets.Searcher{{Name: "s0", Slots: 2, Holds: []targets.Holding{{IndexSnapshot: "v1", Shards: []string{"x"}}}}}, a.Searchers)
	require.Equal(t, []targets.IndexSnapshot{{Name: "v1", Generation: 4, Layout: []string{"x", "y"}}}, a.IndexSnapshots)
	require.Equal(t, targets.Reported{Healthy: true, Load: 0.5}, a.Reported)
	require.EqualValues(t, 3, a.Incarnation)
	require.EqualValues(t, 7, a.Seq)
}

// Guards against malformed, ambiguous or huge bodies that are accepted, and
// against a size limit that rejects the largest valid layout.
func TestHandlerRejectsInvalidBodies(t *testing.T) {
	registry := targets.NewRegistry("h1")
	handler := AnnounceHandler(func(_ *http.Request, a targets.Announcement) error {
		_, err := registry.Announce(time.Unix(1, 0), a)
		return err
	})
	long, err := json.Marshal(strings.Split(strings.Repeat(strings.Repeat("s", 39)+" ", targets.MaxShards), " ")[:targets.MaxShards])
	require.NoError(t, err)
	cases := []struct {
		body   string
		status int
		code   string
	}{
		{valid, 204, ""},
		{strings.Replace(valid, `"seq":7`, `"seq":6`, 1), 409, "stale_announcement"},
		{strings.Replace(valid, `"target"`, `"tarket"`, 1), 400, "invalid_announcement"},
		{strings.Replace(valid, `"10.0.0.1:80"`, `"example:80"`, 1), 400, "invalid_announcement"},
		{valid + "{}", 400, "invalid_announcement"},
		{valid + strings.Repeat(" ", MaxAnnouncementBytes), 413, "announcement_too_large"},
		{`{"target":"` + strings.Repeat("x", MaxAnnouncementBytes), 413, "announcement_too_large"},
		{strings.Replace(valid, `["x","y"]`, string(long), 1), 400, "invalid_announcement"}, // repeated names, but not too large
		{"", 400, "invalid_announcement"},
	}
	for _, c := range cases {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(c.body)))
		require.Equal(t, c.status, w.Code, "%.80s", c.body)
		if c.code != "" {
			require.Contains(t, w.Body.String(), `"code":"`+c.code+`"`)
			require.Contains(t, w.Body.String(), `"verdict":"not_run"`)
		}
	}
}

// Guards against input that makes the decoder or the registry panic.
func FuzzDecodeAnnouncement(f *testing.F) {
	f.Add(valid)
	f.Add(`{"target":"t","address":"[::1]:1","searchers":[{}],"index_snapshots":[{}]}`)
	f.Fuzz(func(t *testing.T, body string) {
		a, err := DecodeAnnouncement(strings.NewReader(body))
		if err != nil {
			require.GreaterOrEqual(t, Status(err), 400)
			return
		}
		registry := targets.NewRegistry("h1")
		_, err = registry.Announce(time.Unix(1, 0), a)
		require.Equal(t, err == nil, registry.View().Len() == 1)
	})
}
