package confighttp

import (
	"context"
	"encoding/json"
	"io"
	"mime"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/intake"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
)

// Bounds of a request.
const (
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes = 1 << 20
	// DefaultProposeTimeout is how long a push waits for its outcome. It is
	// less than a third of the command-line tool's timeout of 10 s, so that
	// each of three hosts gives its verdict before the tool tries the next.
	DefaultProposeTimeout = 3 * time.Second

	defaultHistory = 50
	maxHistory     = 1000
)

// Codes of refused requests.
const (
	codeUnauthorized verdict.Code = "unauthorized"
	codeForbidden    verdict.Code = "forbidden"
	codeNotFound     verdict.Code = "not_found"
	codeTooLarge     verdict.Code = "body_too_large"
	codeMediaType    verdict.Code = "unsupported_media_type"

	// CodeUnknownHost is the code of a drain or resume of a host that the
	// answering host does not know.
	CodeUnknownHost verdict.Code = "unknown_host"
)

// Options configure the administration API.
type Options struct {
	Backend        Backend
	Routes         Routes  // nil if the host serves no route plan
	Tokens         *Tokens // nil disables authorization, see CheckBind
	Log            *eventlog.Logger
	ProposeTimeout time.Duration // DefaultProposeTimeout if zero
}

type server struct {
	Options
}

// call is one authorized request.
type call struct {
	w    http.ResponseWriter
	r    *http.Request
	team string
}

// New returns the handler of all paths under /v1/admin/.
func New(o Options) http.Handler {
	if o.ProposeTimeout == 0 {
		o.ProposeTimeout = DefaultProposeTimeout
	}
	s := &server{Options: o}
	root := mux.NewRouter().UseEncodedPath()
	root.NotFoundHandler = http.HandlerFunc(NotFound)
	root.MethodNotAllowedHandler = http.HandlerFunc(MethodNotAllowed)
	admin := root.PathPrefix("/v1/admin").Subrouter()
	handle := func(method, path string, h func(call)) {
		admin.Handle(path, s.authorized(h)).Methods(method)
	}
	handle(http.MethodPost, "/changes", s.pushChange)
	handle(http.MethodGet, "/changes", s.history)
	handle(http.MethodGet, "/changes/{id}", s.changeStatus)
	handle(http.MethodGet, "/revisions/{revision:[0-9]+}/diff", s.diff)
	handle(http.MethodGet, "/groups", s.groups)
	handle(http.MethodGet, "/selectors", s.selectors)
	handle(http.MethodPost, "/explain", s.explain)
	handle(http.MethodGet, "/targets", s.targets)
	handle(http.MethodGet, "/targets/{target}", s.targetExplanation)
	handle(http.MethodGet, "/hosts", s.hosts)
	handle(http.MethodPost, "/hosts/{host}/drain", s.drainHost)
	handle(http.MethodPost, "/hosts/{host}/resume", s.resumeHost)
	handle(http.MethodGet, "/voters", s.voters)
	handle(http.MethodPost, "/voters/{identity}/remove", s.removeVoter)
	handle(http.MethodGet, "/domains", s.domains)
	handle(http.MethodPost, "/domains/{domain}/withdraw", s.withdrawDomain)
	handle(http.MethodPost, "/domains/{domain}/restore", s.restoreDomain)
	handle(http.MethodGet, "/routes/explain", s.explainRoute)
	handle(http.MethodGet, "/state", s.state)
	return root
}

// NotFound replies to a request for a path that does not exist.
func NotFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, http.StatusNotFound, ErrorDetail{Code: codeNotFound, Verdict: verdict.NotRun, Message: "no such path: " + r.URL.Path})
}

// MethodNotAllowed replies to a request with a method that its path does not
// support.
func MethodNotAllowed(w http.ResponseWriter, r *http.Request) {
	writeError(w, http.StatusMethodNotAllowed, ErrorDetail{Code: verdict.CodeInvalidRequest, Verdict: verdict.NotRun, Message: r.Method + " is not allowed on " + r.URL.Path})
}

// authorized determines the team of a request from its token. Without tokens
// every request acts for the admin team and must name a loopback address in its
// Host header, so that a web page can't reach the API by DNS rebinding, through
// a name of its own that resolves to 127.0.0.1.
func (s *server) authorized(h func(call)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		team := config.AdminTeam
		switch {
		case s.Tokens == nil && !isLoopback(r.Host):
			s.unauthorized(w, r, "without tokens, the administration API accepts only requests to loopback addresses")
			return
		case s.Tokens != nil:
			token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
			if ok {
				team, ok = s.Tokens.team(token)
			}
			if !ok {
				w.Header().Set("WWW-Authenticate", "Bearer")
				s.unauthorized(w, r, "the request has no valid bearer token; set -token-file or HAWTHORNLOCK_TOKEN")
				return
			}
		}
		h(call{w: w, r: r, team: team})
	})
}

func isLoopback(hostPort string) bool {
	host, _, err := net.SplitHostPort(hostPort)
	if err != nil {
		host = hostPort
	}
	addr, err := netip.ParseAddr(strings.Trim(host, "[]"))
	return err == nil && addr.Unmap().IsLoopback()
}

func (s *server) unauthorized(w http.ResponseWriter, r *http.Request, msg string) {
	s.Log.Log(eventUnauthorized).Str("remote", r.RemoteAddr).Str("path", r.URL.Path).Send()
	writeError(w, http.StatusUnauthorized, ErrorDetail{Code: codeUnauthorized, Verdict: verdict.NotRun, Message: msg})
}

// decode reads a bounded JSON body and rejects unknown fields and trailing
// data. On failure it sends an error reply and returns false.
func (s *server) decode(c call, v any) bool {
	status, detail := decodeBody(c, v)
	if status == 0 {
		return true
	}
	s.Log.Log(eventMalformed).Str("team", c.team).Str("path", c.r.URL.Path).Str("reason", detail.Message).Send()
	writeError(c.w, status, detail)
	return false
}

func decodeBody(c call, v any) (int, ErrorDetail) {
	kind, _, err := mime.ParseMediaType(c.r.Header.Get("Content-Type"))
	if err != nil || kind != "application/json" {
		return http.StatusUnsupportedMediaType, ErrorDetail{Code: codeMediaType, Verdict: verdict.NotRun, Message: "the content type is not application/json"}
	}
	dec := json.NewDecoder(http.MaxBytesReader(c.w, c.r.Body, MaxBodyBytes))
	dec.DisallowUnknownFields()
	err = dec.Decode(v)
	if err == nil {
		_, err = dec.Token()
		if errors.Is(err, io.EOF) {
			return 0, ErrorDetail{}
		}
		if err == nil {
			err = errors.New("data after the JSON value")
		}
	}
	var refused *verdict.Error // by a limit on clients
	if errors.As(err, &refused) {
		status := http.StatusServiceUnavailable
		if refused.Code == intake.CodeStalled {
			status = http.StatusRequestTimeout
		}
		return status, ErrorDetail{Code: refused.Code, Verdict: refused.Verdict, Message: refused.Error()}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge, ErrorDetail{Code: codeTooLarge, Verdict: verdict.NotRun, Message: "the body is larger than 1 MiB; split the change"}
	}
	return http.StatusBadRequest, ErrorDetail{Code: verdict.CodeInvalidRequest, Verdict: verdict.NotRun, Message: "malformed JSON: " + err.Error()}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	_ = enc.Encode(v) // the client is gone if this fails
}

func writeError(w http.ResponseWriter, status int, d ErrorDetail) {
	writeJSON(w, status, Error{Error: d})
}

// writeFailure sends an error of the backend as the reply.
func writeFailure(w http.ResponseWriter, err error, changeID string) {
	d := ErrorDetail{Code: verdict.CodeOf(err), Verdict: verdict.Of(err), Message: err.Error(), ChangeID: changeID}
	var e *verdict.Error
	if errors.As(err, &e) {
		d.RetryAfterMS = e.RetryAfter.Milliseconds()
	}
	status := http.StatusServiceUnavailable
	switch {
	case d.Code == codeNotFound, d.Code == CodeUnknownHost, d.Code == withdrawal.CodeUnknownDomain:
		status = http.StatusNotFound
	case errors.Is(err, context.DeadlineExceeded):
		status, d.Code = http.StatusGatewayTimeout, verdict.CodeDeadlineExceeded
	case d.Verdict == verdict.MayHaveRun && changeID != "":
		status = http.StatusGatewayTimeout
	}
	writeError(w, status, d)
}
