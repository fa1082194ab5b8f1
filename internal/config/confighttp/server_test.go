package confighttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
)

const (
	redToken   = "red-0123456789abcdef"
	adminToken = "admin-0123456789abcdef"
)

// fakeBackend decides changes with a real store. While proposeErr is set,
// changes are applied, but Propose fails with it.
type fakeBackend struct {
	mu         sync.Mutex
	store      *config.Store
	proposeErr error
	drained    string
	removed    string
	withdrawn  bool
	orders     uint64
	orderErr   error
	abandoned  chan error // if set, orders wait for the end of their context and report its cause here
}

func (f *fakeBackend) Propose(_ context.Context, c config.Change) (config.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	res := f.store.Apply(f.store.Index()+1, time.Unix(1e9, 0), c)
	return res, f.proposeErr
}

func (f *fakeBackend) DryRun(_ context.Context, c config.Change) (config.Preview, error) {
	return f.store.DryRun(c, []config.TargetLabels{{Target: "t1", Labels: routing.Labels{"site": "1"}}}), nil
}

func (f *fakeBackend) Lookup(_ context.Context, id string) (config.Result, bool, error) {
	res, ok := f.store.Lookup(id)
	return res, ok, nil
}

func (f *fakeBackend) History(_ context.Context, from uint64, limit int) ([]config.Entry, error) {
	return f.store.History(from, limit), nil
}

func (f *fakeBackend) Table() *routing.Table { return f.store.Table() }

func (f *fakeBackend) Targets() []Target {
	return []Target{{Target: "t/1", Labels: map[string]string{"site": "1"}}, {Target: "t2", Labels: map[string]string{"site": "2"}}}
}
func (f *fakeBackend) Hosts() []Host { return []Host{{Host: "h1", Live: true}} }
func (f *fakeBackend) State() State  { return State{Host: "h1", Revision: f.store.Revision()} }
func (f *fakeBackend) DrainHost(_ context.Context, host string) error {
	f.drained = host
	return nil
}

func (f *fakeBackend) Voters() ([]Voter, error) { return []Voter{{Host: "h1", Identity: "id1"}}, nil }

func (f *fakeBackend) RemoveVoter(_ context.Context, id string) error {
	f.removed = id
	return nil
}

func (f *fakeBackend) ResumeHost(_ context.Context, host string) error {
	if host != f.drained {
		return verdict.New(verdict.NotRun, CodeUnknownHost, "host %q is not known", host)
	}
	f.drained = ""
	return nil
}

func (f *fakeBackend) Domains() Domains {
	return Domains{Revision: f.orders, Domains: []Domain{{Domain: "fd/1", Region: "r", Withdrawn: f.withdrawn, Hosts: 2, Targets: 3}}}
}

func (f *fakeBackend) PreviewDomain(domain string, withdraw bool) (DomainOrder, error) {
	if domain != "fd/1" {
		return DomainOrder{}, verdict.New(verdict.NotRun, withdrawal.CodeUnknownDomain, "failure domain %q is unknown", domain)
	}
	return DomainOrder{Domain: domain, Withdrawn: withdraw, Revision: f.orders, Capacity: []ServiceCapacity{{Service: "a", Searchers: 1, Slots: 2, Lost: withdraw}}}, nil
}

func (f *fakeBackend) OrderDomain(ctx context.Context, _ string, withdraw bool) (uint64, error) {
	if f.abandoned != nil {
		<-ctx.Done()
		f.abandoned <- ctx.Err()
		return 0, f.orderErr
	}
	f.withdrawn = withdraw
	f.orders++
	return f.orders, f.orderErr
}

// Guards against a dry run that withdraws a failure domain, an unknown one that is
// accepted, and an order of a team that does not run the hosts.
func TestDomainOrders(t *testing.T) {
	f := newFixture(t, "")
	ctx := t.Context()
	dry, err := f.client.OrderDomain(ctx, "fd/1", true, true)
	require.NoError(t, err)
	require.True(t, dry.DryRun)
	require.True(t, dry.Capacity[0].Lost)
	require.Zero(t, f.orders, "a dry run changed the state")

	done, err := f.client.OrderDomain(ctx, "fd/1", true, false)
	require.NoError(t, err)
	require.Equal(t, uint64(1), done.Revision)
	list, err := f.client.Domains(ctx)
	require.NoError(t, err)
	require.Equal(t, Domains{Revision: 1, Domains: []Domain{{Domain: "fd/1", Region: "r", Withdrawn: true, Hosts: 2, Targets: 3}}}, list)
	_, err = f.client.OrderDomain(ctx, "fd/1", false, false)
	require.NoError(t, err)
	require.False(t, f.withdrawn)

	_, err = f.client.OrderDomain(ctx, "nowhere", true, false)
	var remote *RemoteError
	require.ErrorAs(t, err, &remote)
	require.Equal(t, http.StatusNotFound, remote.Status)
	require.Equal(t, withdrawal.CodeUnknownDomain, remote.Detail.Code)
	require.Equal(t, verdict.NotRun, remote.Detail.Verdict)

	f.orderErr = verdict.New(verdict.MayHaveRun, "unknown_outcome", "lost")
	_, err = f.client.OrderDomain(ctx, "fd/1", true, false)
	require.Equal(t, verdict.MayHaveRun, VerdictOf(err))

	teams := newFixture(t, "red "+redToken)
	teams.client.Token = redToken
	_, err = teams.client.OrderDomain(ctx, "fd/1", true, false)
	require.ErrorAs(t, err, &remote)
	require.Equal(t, http.StatusForbidden, remote.Status)
	require.Zero(t, teams.orders)
}

// Guards against an order that is carried out although its operator has closed the
// connection, because the backend is not told.
func TestClosedConnectionEndsTheContextOfADomainOrder(t *testing.T) {
	f := newFixture(t, "")
	f.abandoned = make(chan error, 1)
	f.orderErr = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "given up")
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	require.NoError(t, err)
	_, err = io.WriteString(c, "POST /v1/admin/domains/fd%2F1/withdraw HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
	require.NoError(t, err)
	require.NoError(t, c.Close())
	require.ErrorIs(t, <-f.abandoned, context.Canceled)
}

type fixture struct {
	*fakeBackend
	client *Client
	url    string
	log    *bytes.Buffer
}

func newFixture(t *testing.T, tokens string) *fixture {
	f := &fixture{fakeBackend: &fakeBackend{store: config.NewStore()}, log: &bytes.Buffer{}}
	parsed, err := LoadTokens("", tokens)
	require.NoError(t, err)
	srv := httptest.NewServer(New(Options{Backend: f, Tokens: parsed, Log: eventlog.New(f.log, zerolog.DebugLevel, "h1")}))
	t.Cleanup(srv.Close)
	f.url = srv.URL
	f.client = &Client{Addresses: []string{srv.Listener.Addr().String()}, HTTP: srv.Client()}
	return f
}

func groupChange(base uint64, name, team, site string) Change {
	return Change{Author: "an", Base: &base, Ops: []Op{{PutGroup: &Group{Name: name, Team: team, Match: map[string]string{"site": site}, Priority: "high"}}}}
}

// Guards against an endpoint that loses or alters data of a request or a reply.
func TestEndpointsRoundTrip(t *testing.T) {
	f := newFixture(t, "")
	ctx := t.Context()
	preview, err := f.client.DryRun(ctx, groupChange(0, "a", "red", "1"))
	require.NoError(t, err)
	require.Equal(t, []GroupMoves{{Group: "a", Enter: []string{"t1"}}}, preview.Groups)
	require.Zero(t, f.store.Revision(), "a dry run changed the state")

	res, err := f.client.Push(ctx, groupChange(0, "a", "red", "1"))
	require.NoError(t, err)
	require.Equal(t, uint64(1), res.Revision)
	again, err := f.client.Push(ctx, groupChange(0, "a", "red", "1"))
	require.NoError(t, err)
	require.Equal(t, res.ChangeID, again.ChangeID)
	require.True(t, again.Resend)
	status, err := f.client.Status(ctx, res.ChangeID)
	require.NoError(t, err)
	require.Equal(t, verdict.Ran, status.Verdict)

	base := uint64(1)
	_, err = f.client.Push(ctx, Change{ID: "with/slash", Author: "an", Base: &base, Ops: []Op{{PutSelector: &Selector{Name: "s", Owner: "red", Match: map[string]string{"app": "x"}, Group: "a"}}}})
	require.NoError(t, err)
	_, err = f.client.Status(ctx, "with/slash")
	require.NoError(t, err)
	groups, err := f.client.Groups(ctx)
	require.NoError(t, err)
	require.Equal(t, "high", groups.Groups[0].Priority)
	selectors, err := f.client.Selectors(ctx)
	require.NoError(t, err)
	require.Len(t, selectors.Selectors, 1)
	from := uint64(2)
	for _, first := range []*uint64{&from, nil} {
		history, err := f.client.History(ctx, first, 1)
		require.NoError(t, err)
		require.Len(t, history.Entries, 1)
		require.Equal(t, uint64(2), history.Entries[0].Revision)
	}
	diff, err := f.client.Diff(ctx, 1)
	require.NoError(t, err)
	require.Equal(t, "created", diff.Objects[0].Action)
	e, err := f.client.Explain(ctx, Request{Team: "red", Labels: map[string]string{"app": "x"}})
	require.NoError(t, err)
	require.Equal(t, "s", e.Winner.Name)
	targets, err := f.client.Targets(ctx, "a")
	require.NoError(t, err)
	require.Len(t, targets.Targets, 1)
	why, err := f.client.ExplainTarget(ctx, "t/1")
	require.NoError(t, err)
	require.True(t, why.Groups[0].Member)
	voters, err := f.client.Voters(ctx)
	require.NoError(t, err)
	require.Equal(t, []Voter{{Host: "h1", Identity: "id1"}}, voters.Voters)
	require.NoError(t, f.client.RemoveVoter(ctx, "id1"))
	require.Equal(t, "id1", f.removed)
	require.NoError(t, f.client.DrainHost(ctx, "h1"))
	require.Equal(t, "h1", f.drained)
	require.ErrorContains(t, f.client.ResumeHost(ctx, "h2"), "unknown_host, not_run")
	require.NoError(t, f.client.ResumeHost(ctx, "h1"))
	require.Empty(t, f.drained)
	hosts, err := f.client.Hosts(ctx)
	require.NoError(t, err)
	require.Len(t, hosts.Hosts, 1)
	state, err := f.client.State(ctx)
	require.NoError(t, err)
	require.Equal(t, uint64(2), state.Revision)
}

// Guards against an unknown outcome that is reported as a refusal, and against
// a client that reports not_run although a host may have accepted the change.
func TestUnknownOutcomeNamesTheChange(t *testing.T) {
	for _, proposeErr := range []error{context.DeadlineExceeded, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "leader lost"), io.ErrUnexpectedEOF} {
		f := newFixture(t, "")
		f.proposeErr = proposeErr
		f.client.Addresses = append(f.client.Addresses, closedAddress(t))
		_, err := f.client.Push(t.Context(), groupChange(0, "a", "red", "1"))
		require.Equal(t, verdict.MayHaveRun, VerdictOf(err))
		resp := f.post(t, "/v1/admin/changes", "application/json", `{"author":"an","base":0,"ops":[{"delete_group":{"name":"x"}}]}`)
		require.Equal(t, http.StatusGatewayTimeout, resp.status)
		require.Contains(t, resp.body, `"verdict":"may_have_run"`)
		require.Contains(t, resp.body, `"change_id":"c0-`)
		require.Contains(t, f.log.String(), `"event":7002`)
	}
}

type reply struct {
	status int
	body   string
}

func (f *fixture) post(t *testing.T, path, contentType, body string, header ...string) reply {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Content-Type", contentType)
	for i := 0; i+1 < len(header); i += 2 {
		if header[i] == "Host" {
			req.Host = header[i+1]
		}
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return reply{resp.StatusCode, string(b)}
}

// Guards against accepting a request that must be refused, and against a
// refusal without the verdict not_run.
func TestRefusedRequests(t *testing.T) {
	const json = "application/json"
	const auth = "Authorization"
	good := `{"author":"an","base":0,"ops":[{"put_group":{"name":"a","team":"red","match":{"site":"1"}}}]}`
	tests := []struct {
		name, tokens, path, kind, body string
		header                         []string
		status                         int
		code                           string
	}{
		{"malformed", "", "/changes", json, `{`, nil, 400, "invalid_request"},
		{"trailing data", "", "/changes", json, good + `{}`, nil, 400, "invalid_request"},
		{"unknown field", "", "/changes", json, `{"base":0,"opps":[]}`, nil, 400, "invalid_request"},
		{"no base", "", "/changes", json, `{"author":"an","ops":[]}`, nil, 400, "invalid_change"},
		{"two operations in one", "", "/changes", json, `{"author":"an","base":0,"ops":[{"delete_group":{"name":"x"},"forget_host":{"name":"x"}}]}`, nil, 400, "invalid_change"},
		{"unknown priority", "", "/changes", json, `{"author":"an","base":0,"ops":[{"put_group":{"name":"a","team":"red","match":{"a":"1"},"priority":"urgent"}}]}`, nil, 400, "invalid_change"},
		{"too large", "", "/changes", json, `{"note":"` + strings.Repeat("x", MaxBodyBytes) + `"}`, nil, 413, "body_too_large"},
		{"form post from a web page", "", "/changes", "text/plain", good, nil, 415, "unsupported_media_type"},
		{"drain from a web page", "", "/hosts/h1/drain", "text/plain", "{}", nil, 415, "unsupported_media_type"},
		{"rebound name without tokens", "", "/changes", json, good, []string{"Host", "evil.example:80"}, 401, "unauthorized"},
		{"unknown object", "", "/changes", json, `{"author":"an","base":0,"ops":[{"delete_group":{"name":"x"}}]}`, nil, 409, "unknown_object"},
		{"bad parameter", "", "/changes?dry_run=maybe", json, good, nil, 400, "invalid_request"},
		{"no path", "", "/nowhere", json, good, nil, 404, "not_found"},
		{"no method", "", "/state", json, good, nil, 405, "invalid_request"},
		{"no token", "red " + redToken, "/changes", json, good, nil, 401, "unauthorized"},
		{"wrong token", "red " + redToken, "/changes", json, good, []string{auth, "Bearer " + redToken + "x"}, 401, "unauthorized"},
		{"another team", "red " + redToken, "/changes", json, `{"team":"blue",` + good[1:], []string{auth, "Bearer " + redToken}, 403, "forbidden"},
		{"system team", "admin " + adminToken, "/changes", json, `{"team":"system",` + good[1:], []string{auth, "Bearer " + adminToken}, 403, "forbidden"},
		{"drain by a team", "red " + redToken, "/hosts/h1/drain", json, "{}", []string{auth, "Bearer " + redToken}, 403, "forbidden"},
		{"resume from a web page", "", "/hosts/h1/resume", "text/plain", "{}", nil, 415, "unsupported_media_type"},
		{"voter removal by a team", "red " + redToken, "/voters/id1/remove", json, "{}", []string{auth, "Bearer " + redToken}, 403, "forbidden"},
		{"resume by a team", "red " + redToken, "/hosts/h1/resume", json, "{}", []string{auth, "Bearer " + redToken}, 403, "forbidden"},
		{"resume of an unknown host", "", "/hosts/h9/resume", json, "{}", nil, 404, "unknown_host"},
		{"forget by a team", "red " + redToken, "/changes", json, `{"author":"an","base":0,"ops":[{"forget_host":{"name":"x"}}]}`, []string{auth, "Bearer " + redToken}, 403, "not_owner"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, tt.tokens)
			got := f.post(t, "/v1/admin"+tt.path, tt.kind, tt.body, tt.header...)
			require.Equal(t, tt.status, got.status, got.body)
			require.Contains(t, got.body, `"code":"`+tt.code+`"`)
			require.Contains(t, got.body, `"verdict":"not_run"`)
			require.Zero(t, f.store.Revision())
		})
	}
}

// Guards against a team token that acts for another team, and an admin token
// that can't act for a team.
func TestTokenDeterminesTeam(t *testing.T) {
	f := newFixture(t, "# night shift\nred "+redToken+"\n\nadmin "+adminToken+"\n")
	f.client.Token = redToken
	_, err := f.client.Push(t.Context(), groupChange(0, "b", "blue", "1"))
	require.Equal(t, verdict.NotRun, VerdictOf(err))
	require.ErrorContains(t, err, "not_owner")
	_, err = f.client.Push(t.Context(), groupChange(0, "a", "red", "1"))
	require.NoError(t, err)
	f.client.Token = adminToken
	_, err = f.client.Push(t.Context(), groupChange(1, "b", "blue", "1"))
	require.NoError(t, err)
	require.NotContains(t, f.log.String(), redToken)
}

// Guards against an administration API without tokens that other machines can
// reach, and against tokens that are short, readable by everyone or ambiguous.
func TestTokensAndBinds(t *testing.T) {
	for _, text := range []string{"red", "red short", "system " + adminToken, "red " + redToken + "\nblue " + redToken, "#\n"} {
		_, err := ParseTokens(text)
		require.Error(t, err, text)
		require.NotContains(t, err.Error(), redToken)
	}
	file := filepath.Join(t.TempDir(), "tokens")
	require.NoError(t, os.WriteFile(file, []byte("red "+redToken), 0o600))
	tokens, err := LoadTokens(file, "")
	require.NoError(t, err)
	require.NoError(t, os.Chmod(file, 0o604))
	_, err = LoadTokens(file, "")
	require.ErrorContains(t, err, "chmod")
	for _, tt := range []struct {
		listen string
		tokens *Tokens
		ok     bool
	}{
		{"127.0.0.1:7000", nil, true},
		{"[::1]:7000", nil, true},
		{"[::ffff:127.0.0.1]:7000", nil, true},
		{"0.0.0.0:7000", nil, false},
		{"10.0.0.1:7000", nil, false},
		{"10.0.0.1:7000", tokens, true},
		{"localhost:7000", tokens, false},
	} {
		require.Equal(t, tt.ok, CheckBind(tt.listen, tt.tokens) == nil, tt.listen)
	}
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	srv := httptest.NewServer(nil)
	srv.Close()
	return srv.Listener.Addr().String()
}

// Guards against a client that reports not_run for a change that an earlier
// host may have accepted, or may_have_run when no host was reached, and against
// a connection failure that hides the reply of an earlier host.
func TestClientJoinsVerdictsOfAllHosts(t *testing.T) {
	f := newFixture(t, "")
	good := f.client.Addresses[0]
	f.client.Addresses = []string{closedAddress(t), good}
	_, err := f.client.Push(t.Context(), groupChange(0, "a", "red", "1"))
	require.NoError(t, err)
	f.client.Addresses = []string{closedAddress(t), closedAddress(t)}
	_, err = f.client.Push(t.Context(), groupChange(1, "a", "red", "1"))
	require.Equal(t, verdict.NotRun, VerdictOf(err))
	f.proposeErr = io.ErrUnexpectedEOF
	f.client.Addresses = []string{good, closedAddress(t)}
	_, err = f.client.Push(t.Context(), groupChange(1, "a", "red", "2"))
	require.Equal(t, verdict.MayHaveRun, VerdictOf(err))
	require.ErrorContains(t, err, "unexpected EOF") // not the later connection failure
}

// Guards against a request that is not idempotent and is sent to a second host after
// it may have had an effect: the second host would refuse it as "not run".
func TestRemovalOfAVoterIsNotRepeated(t *testing.T) {
	var asked []string
	host := func(name string, handler http.HandlerFunc) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked = append(asked, name)
			handler(w, r)
		}))
		t.Cleanup(srv.Close)
		return srv.Listener.Addr().String()
	}
	refuse := func(v string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"error":{"code":"unavailable","message":"m","verdict":"`+v+`"}}`)
		}
	}
	c := Client{HTTP: http.DefaultClient, Addresses: []string{host("a", refuse("not_run")), host("b", refuse("may_have_run")), host("c", refuse("not_run"))}}
	err := c.RemoveVoter(t.Context(), "id1")
	require.Equal(t, verdict.MayHaveRun, VerdictOf(err))
	require.Equal(t, []string{"a", "b"}, asked)
}
