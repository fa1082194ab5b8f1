package acceptance

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against invalid command lines that are executed, or reported unclearly
// or with an exit code that misleads a script.
func badCommands(t *testing.T, o *operator) {
	good := o.writeFile("good.json", `{"ops":[{"put_group":{"name":"a","team":"red","match":{"site":"1"}}}]}`)
	before := lastChange(t, o)
	for _, c := range []struct {
		code       int
		want, line string
	}{
		{exitUsage, "unknown command", "hots state"},
		{exitUsage, "usage:", "host drain"},
		{exitUsage, "usage:", "change push"},
		{exitUsage, "not defined", "change push " + good + " -dryrun"},
		{exitUsage, "neither table nor json", "host state -o xml"},
		{exitUsage, "-timeout", "host state -timeout 0s"},
		{exitUsage, "-timeout", "query -timeout -1s -team showroom x"},
		{exitUsage, "no such file", "change push /nonexistent"},
		{exitUsage, "unknown field", "change push " + o.writeFile("field.json", `{"opps":[]}`)},
		{exitUsage, "change file", "change push " + o.writeFile("cut.json", `{"ops":[`)},
		{exitUsage, "data after", "change push " + o.writeFile("two.json", `{"ops":[]}{}`)},
		{exitNotRun, "holds 0 operations", "change push " + o.writeFile("empty.json", `{"ops":[]}`)},
		{exitUsage, "not a revision", "change push -base x " + good},
		{exitUsage, "not a revision", "change diff x"},
		{exitUsage, "-limit", "change history -limit 0"},
		{exitUsage, "not key=value", "explain -labels app"},
		{exitUsage, "given twice", "explain -labels a=1,a=2"},
		{exitUsage, "token file", "host state -token-file /nonexistent"},
		{exitUsage, "order file", "order place -team showroom /nonexistent"},
		{exitUsage, "UUID of version 7", "order place -request-id 7 -team showroom " + good},
		{exitNotRun, "base_too_new", "change push -base 999999 " + good},
		{exitNotRun, "not in the history", "change diff 999999"},
		{exitMayHaveRun, "not in the record", "change status nothing"},
		{exitNotRun, "unknown_object", "group delete nothing"},
		{exitNotRun, "used by selector", "group delete showroom-app"},
		{exitNotRun, "unknown_object", "selector delete nothing"},
		{exitNotRun, "invalid_change", "group put b -owner blue"},
		{exitUsage, "not normal, high or low", "group put b -owner blue -match site=1 -priority urgent"},
		{exitNotRun, "unknown_group", "selector put b -owner blue -match site=1 -group nowhere"},
		{exitNotRun, "ambiguous_selectors", "selector put b -owner admin -for-team showroom -match app=showroom-app -group pack-stock"},
		{exitNotRun, "is not a member", "host forget nobody"},
		{exitNotRun, "no_selector", "query -team strangers x"},
		{exitNotRun, "unknown_group", "query -team showroom -group nowhere x"},
		{exitNotRun, "invalid_request", "query -team showroom -labels app=showroom-app -k 0 x"},
		{exitNotRun, "invalid_request", "query -team showroom -labels app=showroom-app -min-coverage 2 x"},
		{exitNotRun, "impossible_timeout", "query -team showroom -labels app=showroom-app -timeout 1h x"},
		{exitNotRun, "no_selector", "order place -team strangers " + good},
		{exitNotRun, "order_not_found", "order status 1700000000000-nothing"},
		{exitNotRun, "invalid_request_id", "order status nothing"},
		{exitNotRun, "try another host", "host state -addr 127.0.0.1:1"},
		{exitNotRun, "try another host", "query -caller-addr 127.0.0.1:1 -team showroom x"},
		{exitUsage, "-addr", "host state -addr ,"},
		{exitUsage, "-addr", "host state -addr localhost"},
		{exitUsage, "-caller-addr", "query -caller-addr nonsense -team showroom x"},
	} {
		r := o.run("%s", c.line)
		assert.Equal(t, c.code, r.code, "%s: %s%s", c.line, r.out, r.err)
		assert.Contains(t, r.out+r.err, c.want, c.line)
	}
	require.Equal(t, before, lastChange(t, o))
}

// Guards against a refused HTTP request whose response has a wrong status or
// code, a verdict other than not_run or no message.
func badRequests(t *testing.T, s system) {
	const contentType = "application/json"
	admin, caller := s[0].url("/v1/admin"), "http://"+s[0].settings.CallerListen.String()
	for _, c := range []struct {
		method, url, contentType, body string
		status                         int
		code                           string
	}{
		{"POST", admin + "/changes", contentType, `{`, 400, "invalid_request"},
		{"POST", admin + "/changes", contentType, `{"base":0,"author":"x","ops":[]}`, 400, "invalid_change"},
		{"POST", admin + "/changes", "text/plain", `{}`, 415, "unsupported_media_type"},
		{"POST", admin + "/changes", contentType, strings.Repeat(" ", 2<<20), 413, "body_too_large"},
		{"GET", admin + "/nowhere", "", "", 404, "not_found"},
		{"DELETE", admin + "/state", "", "", 405, "invalid_request"},
		{"GET", admin + "/revisions/18446744073709551616/diff", "", "", 400, "invalid_request"},
		{"GET", admin + "/changes?limit=x", "", "", 400, "invalid_request"},
		{"POST", admin + "/hosts/nobody/resume", contentType, `{}`, 404, "unknown_host"},
		{"GET", s[0].url("/nowhere"), "", "", 404, "not_found"},
		{"POST", s[0].url("/debug/state"), "", "", 405, "invalid_request"},
		{"GET", caller + "/v1/nowhere", "", "", 404, "not_found"},
		{"GET", caller + "/v1/query", "", "", 405, "invalid_request"},
		{"POST", caller + "/v1/query", contentType, `{"team":1}`, 400, "invalid_request"},
		{"POST", caller + "/v1/query", contentType, `{"team":"showroom","colour":"red"}`, 400, "invalid_request"},
		{"POST", caller + "/v1/orders", contentType, `{"team":"showroom","labels":{"app":"showroom-app"},"body":"x"}`, 400, "missing_request_id"},
		{"POST", caller + "/v1/orders", contentType, `{"request_id":"7","team":"showroom","labels":{"app":"showroom-app"},"body":"x"}`, 400, "invalid_request_id"},
		{"GET", caller + "/v1/orders/nothing", "", "", 400, "invalid_request_id"},
	} {
		code, text := httpRequest(t, c.method, c.url, c.contentType, c.body)
		assert.Equal(t, c.status, code, "%s %s: %s", c.method, c.url, text)
		var body struct {
			Error struct{ Code, Message, Verdict string }
		}
		assert.NoError(t, json.Unmarshal([]byte(text), &body), "%s %s: %s", c.method, c.url, text)
		assert.Equal(t, c.code, body.Error.Code, text)
		assert.Equal(t, "not_run", body.Error.Verdict, text)
		assert.NotEmpty(t, body.Error.Message)
	}
	code, text := httpRequest(t, http.MethodGet, s[0].url("/metrics"), "", "")
	require.Equal(t, http.StatusOK, code)
	require.Contains(t, text, "hawthornlock_")
}
