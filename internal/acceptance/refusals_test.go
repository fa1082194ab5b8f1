package acceptance

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against mistakes at the command line that are carried out, reported
// unclearly or reported with an exit code that misleads a script.
func badCommands(t *testing.T, o *operator) {
	good := o.file("good.json", `{"ops":[{"put_group":{"name":"a","team":"red","match":{"site":"1"}}}]}`)
	before := lastChange(t, o)
	for _, c := range []struct {
		code       int
		want, line string
	}{
		{usage, "unknown command", "hots state"},
		{usage, "usage:", "host drain"},
		{usage, "usage:", "change push"},
		{usage, "not defined", "change push " + good + " -dryrun"},
		{usage, "neither table nor json", "host state -o xml"},
		{usage, "-timeout", "host state -timeout 0s"},
		{usage, "-timeout", "query -timeout -1s -team showroom x"},
		{usage, "no such file", "change push /nonexistent"},
		{usage, "unknown field", "change push " + o.file("field.json", `{"opps":[]}`)},
		{usage, "change file", "change push " + o.file("cut.json", `{"ops":[`)},
		{usage, "data after", "change push " + o.file("two.json", `{"ops":[]}{}`)},
		{notRun, "holds 0 operations", "change push " + o.file("empty.json", `{"ops":[]}`)},
		{usage, "not a revision", "change push -base x " + good},
		{usage, "not a revision", "change diff x"},
		{usage, "-limit", "change history -limit 0"},
		{usage, "not key=value", "explain -labels app"},
		{usage, "given twice", "explain -labels a=1,a=2"},
		{usage, "token file", "host state -token-file /nonexistent"},
		{usage, "order file", "order place -team showroom /nonexistent"},
		{usage, "UUID of version 7", "order place -request-id 7 -team showroom " + good},
		{notRun, "base_too_new", "change push -base 999999 " + good},
		{notRun, "not in the history", "change diff 999999"},
		{mayHaveRun, "not in the record", "change status nothing"},
		{notRun, "unknown_object", "group delete nothing"},
		{notRun, "used by selector", "group delete showroom-app"},
		{notRun, "unknown_object", "selector delete nothing"},
		{notRun, "invalid_change", "group put b -owner blue"},
		{usage, "not normal, high or low", "group put b -owner blue -match site=1 -priority urgent"},
		{notRun, "unknown_group", "selector put b -owner blue -match site=1 -group nowhere"},
		{notRun, "ambiguous_selectors", "selector put b -owner admin -for-team showroom -match app=showroom-app -group pack-stock"},
		{notRun, "is not a member", "host forget nobody"},
		{notRun, "no_selector", "query -team strangers x"},
		{notRun, "unknown_group", "query -team showroom -group nowhere x"},
		{notRun, "invalid_request", "query -team showroom -labels app=showroom-app -k 0 x"},
		{notRun, "invalid_request", "query -team showroom -labels app=showroom-app -min-coverage 2 x"},
		{notRun, "impossible_timeout", "query -team showroom -labels app=showroom-app -timeout 1h x"},
		{notRun, "no_selector", "order place -team strangers " + good},
		{notRun, "order_not_found", "order status 1700000000000-nothing"},
		{notRun, "invalid_request_id", "order status nothing"},
		{notRun, "try another host", "host state -addr 127.0.0.1:1"},
		{notRun, "try another host", "query -caller-addr 127.0.0.1:1 -team showroom x"},
		{usage, "-addr", "host state -addr ,"},
		{usage, "-addr", "host state -addr localhost"},
		{usage, "-caller-addr", "query -caller-addr nonsense -team showroom x"},
	} {
		r := o.run("%s", c.line)
		assert.Equal(t, c.code, r.code, "%s: %s%s", c.line, r.out, r.err)
		assert.Contains(t, r.out+r.err, c.want, c.line)
	}
	require.Equal(t, before, lastChange(t, o))
}

// Guards against a refusal over HTTP without a code, a message or a verdict.
func badRequests(t *testing.T, s system) {
	const kind = "application/json"
	admin, caller := s[0].url("/v1/admin"), "http://"+s[0].settings.CallerListen.String()
	for _, c := range []struct {
		method, url, kind, body string
		status                  int
		code                    string
	}{
		{"POST", admin + "/changes", kind, `{`, 400, "invalid_request"},
		{"POST", admin + "/changes", kind, `{"base":0,"author":"x","ops":[]}`, 400, "invalid_change"},
		{"POST", admin + "/changes", "text/plain", `{}`, 415, "unsupported_media_type"},
		{"POST", admin + "/changes", kind, strings.Repeat(" ", 2<<20), 413, "body_too_large"},
		{"GET", admin + "/nowhere", "", "", 404, "not_found"},
		{"DELETE", admin + "/state", "", "", 405, "invalid_request"},
		{"GET", admin + "/revisions/18446744073709551616/diff", "", "", 400, "invalid_request"},
		{"GET", admin + "/changes?limit=x", "", "", 400, "invalid_request"},
		{"POST", admin + "/hosts/nobody/resume", kind, `{}`, 404, "unknown_host"},
		{"GET", s[0].url("/nowhere"), "", "", 404, "not_found"},
		{"POST", s[0].url("/debug/state"), "", "", 405, "invalid_request"},
		{"GET", caller + "/v1/nowhere", "", "", 404, "not_found"},
		{"GET", caller + "/v1/query", "", "", 405, "invalid_request"},
		{"POST", caller + "/v1/query", kind, `{"team":1}`, 400, "invalid_request"},
		{"POST", caller + "/v1/query", kind, `{"team":"showroom","colour":"red"}`, 400, "invalid_request"},
		{"POST", caller + "/v1/orders", kind, `{"team":"showroom","labels":{"app":"showroom-app"},"body":"x"}`, 400, "missing_request_id"},
		{"POST", caller + "/v1/orders", kind, `{"request_id":"7","team":"showroom","labels":{"app":"showroom-app"},"body":"x"}`, 400, "invalid_request_id"},
		{"GET", caller + "/v1/orders/nothing", "", "", 400, "invalid_request_id"},
	} {
		code, text := status(t, c.method, c.url, c.kind, c.body)
		assert.Equal(t, c.status, code, "%s %s: %s", c.method, c.url, text)
		var body struct {
			Error struct{ Code, Message, Verdict string }
		}
		assert.NoError(t, json.Unmarshal([]byte(text), &body), "%s %s: %s", c.method, c.url, text)
		assert.Equal(t, c.code, body.Error.Code, text)
		assert.Equal(t, "not_run", body.Error.Verdict, text)
		assert.NotEmpty(t, body.Error.Message)
	}
	code, text := status(t, http.MethodGet, s[0].url("/metrics"), "", "")
	require.Equal(t, http.StatusOK, code)
	require.Contains(t, text, "hawthornlock_")
}
