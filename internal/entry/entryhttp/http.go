// Package entryhttp serves callers over HTTP with JSON bodies.
package entryhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/hawthornlock/hawthornlock/internal/admission"
	"github.com/hawthornlock/hawthornlock/internal/entry"
	"github.com/hawthornlock/hawthornlock/internal/intake"
	"github.com/hawthornlock/hawthornlock/internal/intake/intakerun"
	"github.com/hawthornlock/hawthornlock/internal/orders"
	"github.com/hawthornlock/hawthornlock/internal/orders/ordersrun"
	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// maxBodyBytes limits the body of a request. It leaves room for an order's body
// in which every byte is escaped.
const maxBodyBytes = 6*entry.MaxOrderBodyBytes + 64<<10

// Codes of the errors of this package.
const (
	codeBodyTooLarge verdict.Code = "body_too_large"
	codeNotFound     verdict.Code = "not_found"
)

// RequestIDHeader is the header with the request ID, in requests and replies.
const RequestIDHeader = "X-Request-Id"

// OrderResult is the outcome of an order that ran.
type OrderResult struct {
	RequestID string
	Result    []byte // JSON
}

// Queries answers validated queries.
type Queries interface {
	Query(ctx context.Context, q entry.QueryRequest) (*query.Answer, error)
}

// Orders runs validated orders.
type Orders interface {
	Order(ctx context.Context, o entry.OrderRequest) (*OrderResult, error)
	LookUpOrder(ctx context.Context, requestID string) (*OrderResult, error)
}

// Config configures the callers' interface.
type Config struct {
	Queries  Queries
	Orders   Orders
	Timeouts entry.Timeouts
	NewID    func() string // makes request IDs for queries that have none
}

type handler struct{ Config }

// NewRouter returns a handler that serves the callers' interface.
func NewRouter(cfg Config) http.Handler {
	h := &handler{cfg}
	r := mux.NewRouter()
	r.NotFoundHandler = http.HandlerFunc(notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(methodNotAllowed)
	r.HandleFunc("/v1/query", h.query).Methods(http.MethodPost)
	r.HandleFunc("/v1/orders", h.order).Methods(http.MethodPost)
	r.HandleFunc("/v1/orders/{request_id}", h.lookUpOrder).Methods(http.MethodGet)
	return r
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusNotFound, errorMessage{errorBody{Code: codeNotFound, Message: "no such path: " + r.URL.Path, Verdict: verdict.NotRun}})
}

func methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusMethodNotAllowed, errorMessage{errorBody{
		Code: verdict.CodeInvalidRequest, Message: r.Method + " is not allowed on " + r.URL.Path, Verdict: verdict.NotRun,
	}})
}

type originMessage struct {
	RequestID string            `json:"request_id"`
	Team      string            `json:"team"`
	Labels    map[string]string `json:"labels"`
	Group     string            `json:"group"`
}

type queryMessage struct {
	originMessage
	Terms       string  `json:"terms"`
	K           int     `json:"k"`
	TimeoutMS   int64   `json:"timeout_ms"`
	MinCoverage float64 `json:"min_coverage"`
}

type orderMessage struct {
	originMessage
	Body         json.RawMessage `json:"body"`
	FirstAttempt bool            `json:"first_attempt"`
	TimeoutMS    int64           `json:"timeout_ms"`
}

type answerMessage struct {
	RequestID     string          `json:"request_id"`
	Group         string          `json:"group"`
	IndexSnapshot string          `json:"index_snapshot"`
	Verdict       verdict.Verdict `json:"verdict"`
	Coverage      coverageMessage `json:"coverage"`
	Hits          []hitMessage    `json:"hits"`
}

type coverageMessage struct {
	Total    int              `json:"total"`
	Answered []string         `json:"answered"`
	Missing  []missingMessage `json:"missing"`
}

type missingMessage struct {
	Shard  string       `json:"shard"`
	Reason query.Reason `json:"reason"`
}

type hitMessage struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	Text  string  `json:"text"`
}

type orderReplyMessage struct {
	RequestID string          `json:"request_id"`
	Verdict   verdict.Verdict `json:"verdict"`
	Result    json.RawMessage `json:"result"`
}

type errorMessage struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Code         verdict.Code    `json:"code"`
	Message      string          `json:"message"`
	Verdict      verdict.Verdict `json:"verdict"`
	RequestID    string          `json:"request_id,omitempty"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
}

func (h *handler) query(w http.ResponseWriter, r *http.Request) {
	var m queryMessage
	if err := decode(w, r, &m); err != nil {
		writeError(w, "", err)
		return
	}
	q := entry.QueryRequest{
		Origin: h.origin(r, m.originMessage), Terms: m.Terms, K: m.K,
		Timeout: milliseconds(m.TimeoutMS), MinCoverage: m.MinCoverage,
	}
	if q.RequestID == "" {
		q.RequestID = h.NewID()
	}
	if err := q.Validate(h.Timeouts); err != nil {
		writeError(w, q.RequestID, err)
		return
	}
	answer, err := h.Queries.Query(r.Context(), q)
	if err != nil {
		writeError(w, q.RequestID, err)
		return
	}
	w.Header().Set(RequestIDHeader, q.RequestID)
	writeJSON(w, http.StatusOK, encodeAnswer(answer))
}

func (h *handler) order(w http.ResponseWriter, r *http.Request) {
	var m orderMessage
	if err := decode(w, r, &m); err != nil {
		writeError(w, "", err)
		return
	}
	o := entry.OrderRequest{Origin: h.origin(r, m.originMessage), Body: m.Body, First: m.FirstAttempt, Timeout: milliseconds(m.TimeoutMS)}
	if err := o.Validate(h.Timeouts); err != nil {
		writeError(w, o.RequestID, err)
		return
	}
	result, err := h.Orders.Order(r.Context(), o)
	h.writeOrder(w, o.RequestID, result, err)
}

func (h *handler) lookUpOrder(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["request_id"]
	// Without this check, the reply to a malformed ID would be that no order ran.
	if _, err := orders.IssuedAt(id); err != nil {
		writeError(w, id, err)
		return
	}
	result, err := h.Orders.LookUpOrder(r.Context(), id)
	h.writeOrder(w, id, result, err)
}

func (h *handler) writeOrder(w http.ResponseWriter, id string, result *OrderResult, err error) {
	if err != nil {
		writeError(w, id, err)
		return
	}
	w.Header().Set(RequestIDHeader, id)
	writeJSON(w, http.StatusOK, orderReplyMessage{RequestID: result.RequestID, Verdict: verdict.Ran, Result: result.Result})
}

// origin returns the origin of a request. The request ID is taken from the body
// or, if it has none, from the header. Callers are identified by IP address, for
// fairness between them.
func (h *handler) origin(r *http.Request, m originMessage) entry.Origin {
	caller, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		caller = r.RemoteAddr
	}
	id := m.RequestID
	if id == "" {
		id = r.Header.Get(RequestIDHeader)
	}
	return entry.Origin{RequestID: id, Caller: caller, Team: m.Team, Labels: routing.Labels(m.Labels), Group: m.Group}
}

// milliseconds converts a timeout. It clamps values beyond an hour, since large
// ones would overflow.
func milliseconds(ms int64) time.Duration {
	const limit = int64(time.Hour / time.Millisecond)
	return time.Duration(min(max(ms, -limit), limit)) * time.Millisecond
}

func decode(w http.ResponseWriter, r *http.Request, v any) error {
	body, err := intakerun.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes), r.ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return verdict.New(verdict.NotRun, codeBodyTooLarge, "the body is longer than %d bytes", maxBodyBytes)
	}
	var refused *verdict.Error // by a limit on clients
	if errors.As(err, &refused) {
		return refused
	}
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "read the body")
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "decode the body")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "the body holds more than one JSON value")
	}
	return nil
}

func encodeAnswer(a *query.Answer) answerMessage {
	m := answerMessage{
		RequestID: a.RequestID, Group: a.Group, IndexSnapshot: a.IndexSnapshot, Verdict: a.Verdict,
		Coverage: coverageMessage{Total: a.Coverage.Total, Answered: a.Coverage.Answered, Missing: []missingMessage{}},
		Hits:     []hitMessage{},
	}
	if m.Coverage.Answered == nil {
		m.Coverage.Answered = []string{}
	}
	for _, x := range a.Coverage.Missing {
		m.Coverage.Missing = append(m.Coverage.Missing, missingMessage(x))
	}
	for _, x := range a.Hits {
		m.Hits = append(m.Hits, hitMessage(x))
	}
	return m
}

// statuses maps error codes to HTTP statuses. The status of any other code
// depends on the verdict, see StatusOf.
var statuses = map[verdict.Code]int{
	verdict.CodeInvalidRequest:     http.StatusBadRequest,
	entry.CodeMissingRequestID:     http.StatusBadRequest,
	entry.CodeImpossibleTimeout:    http.StatusBadRequest,
	codeBodyTooLarge:               http.StatusRequestEntityTooLarge,
	intake.CodeStalled:             http.StatusRequestTimeout,
	routing.CodeUnknownGroup:       http.StatusNotFound,
	routing.CodeNoSelector:         http.StatusForbidden,
	verdict.CodeDeadlineExceeded:   http.StatusGatewayTimeout,
	verdict.CodeInternal:           http.StatusInternalServerError,
	query.CodeCoverageBelowMinimum: http.StatusServiceUnavailable,
	ordersrun.CodeNotFound:         http.StatusNotFound,
	orders.CodeInvalidRequestID:    http.StatusBadRequest,
	orders.CodeContentMismatch:     http.StatusConflict,
	orders.CodeExpired:             http.StatusGone,
	admission.CodeQueueFull:        http.StatusTooManyRequests,
	admission.CodeOverloaded:       http.StatusTooManyRequests,
}

// StatusOf returns the HTTP status of an error.
func StatusOf(err error) int {
	if status, ok := statuses[verdict.CodeOf(err)]; ok {
		return status
	}
	if verdict.Of(err) == verdict.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

func writeError(w http.ResponseWriter, requestID string, err error) {
	body := errorBody{Code: verdict.CodeOf(err), Message: err.Error(), Verdict: verdict.Of(err), RequestID: requestID}
	var e *verdict.Error
	if errors.As(err, &e) && e.RetryAfter > 0 {
		body.RetryAfterMS = max(1, e.RetryAfter.Milliseconds())
	}
	if requestID != "" {
		w.Header().Set(RequestIDHeader, requestID)
	}
	writeJSON(w, StatusOf(err), errorMessage{Error: body})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
