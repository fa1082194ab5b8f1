package confighttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/httpanswer"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// maxReplyBytes bounds how much of a reply a client reads.
const maxReplyBytes = 64 << 20

// Client calls the administration API. It tries the addresses in order until a
// host gives a readable reply with a status other than 503 or 504. Trying
// another host is safe: pushes are idempotent by change ID, and drains and
// resumes are idempotent too.
type Client struct {
	Addresses []string // IP and port
	Token     string
	HTTP      *http.Client
}

// RemoteError is an error reply from a host.
type RemoteError struct {
	Status int
	Detail ErrorDetail
}

// Error returns the host's message and code.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s (code %s, %s)", e.Detail.Message, e.Detail.Code, e.Detail.Verdict)
}

// Push submits a change. The change must carry an ID if it may be sent to
// more than one host.
func (c *Client) Push(ctx context.Context, change Change) (Result, error) {
	var out Result
	return out, c.do(ctx, http.MethodPost, "/changes", change, &out)
}

// DryRun shows what a change would do.
func (c *Client) DryRun(ctx context.Context, change Change) (Preview, error) {
	var out Preview
	return out, c.do(ctx, http.MethodPost, "/changes?dry_run=true", change, &out)
}

// Status returns the result of a past change.
func (c *Client) Status(ctx context.Context, id string) (Result, error) {
	var out Result
	return out, c.do(ctx, http.MethodGet, "/changes/"+url.PathEscape(id), nil, &out)
}

// History returns accepted changes with revisions of at least from, or the
// latest ones if from is nil.
func (c *Client) History(ctx context.Context, from *uint64, limit int) (History, error) {
	path := fmt.Sprintf("/changes?limit=%d", limit)
	if from != nil {
		path += fmt.Sprintf("&from=%d", *from)
	}
	var out History
	return out, c.do(ctx, http.MethodGet, path, nil, &out)
}

// Diff returns what the change of a revision did.
func (c *Client) Diff(ctx context.Context, revision uint64) (Diff, error) {
	var out Diff
	return out, c.do(ctx, http.MethodGet, "/revisions/"+strconv.FormatUint(revision, 10)+"/diff", nil, &out)
}

// Groups returns the groups in force.
func (c *Client) Groups(ctx context.Context) (Groups, error) {
	var out Groups
	return out, c.do(ctx, http.MethodGet, "/groups", nil, &out)
}

// Selectors returns the selectors in force.
func (c *Client) Selectors(ctx context.Context) (Selectors, error) {
	var out Selectors
	return out, c.do(ctx, http.MethodGet, "/selectors", nil, &out)
}

// Explain shows how a request is routed.
func (c *Client) Explain(ctx context.Context, r Request) (Explanation, error) {
	var out Explanation
	return out, c.do(ctx, http.MethodPost, "/explain", r, &out)
}

// Targets returns the targets of a group, or all if group is empty.
func (c *Client) Targets(ctx context.Context, group string) (Targets, error) {
	var out Targets
	return out, c.do(ctx, http.MethodGet, "/targets?group="+url.QueryEscape(group), nil, &out)
}

// ExplainTarget shows why a target belongs to its groups and not to others.
func (c *Client) ExplainTarget(ctx context.Context, target string) (TargetExplanation, error) {
	var out TargetExplanation
	return out, c.do(ctx, http.MethodGet, "/targets/"+url.PathEscape(target), nil, &out)
}

// Hosts returns the known hosts.
func (c *Client) Hosts(ctx context.Context) (Hosts, error) {
	var out Hosts
	return out, c.do(ctx, http.MethodGet, "/hosts", nil, &out)
}

// State returns the answering host's view of itself, the leader and the agreed
// member list.
func (c *Client) State(ctx context.Context) (State, error) {
	var out State
	return out, c.do(ctx, http.MethodGet, "/state", nil, &out)
}

// DrainHost makes a host refuse new work and stay up.
func (c *Client) DrainHost(ctx context.Context, host string) error {
	return c.do(ctx, http.MethodPost, "/hosts/"+url.PathEscape(host)+"/drain", struct{}{}, &Name{})
}

// Voters returns the hosts that hold the replicated log.
func (c *Client) Voters(ctx context.Context) (Voters, error) {
	var out Voters
	err := c.do(ctx, http.MethodGet, "/voters", nil, &out)
	return out, err
}

// RemoveVoter permanently revokes the vote of an identity.
func (c *Client) RemoveVoter(ctx context.Context, identity string) error {
	return c.doUntil(ctx, mayHaveRun, http.MethodPost, "/voters/"+url.PathEscape(identity)+"/remove", struct{}{}, &Name{})
}

// mayHaveRun reports whether a failed request may have had an effect. Sent again,
// a request that is not idempotent would then be refused although it took effect.
func mayHaveRun(err error) bool { return errVerdict(err) != verdict.NotRun }

// ResumeHost ends the drain of a host.
func (c *Client) ResumeHost(ctx context.Context, host string) error {
	return c.do(ctx, http.MethodPost, "/hosts/"+url.PathEscape(host)+"/resume", struct{}{}, &Name{})
}

// do sends a request to one host after another until shouldTryNext returns
// false. If no host is left, it returns the last reply of a host, or the last
// failed attempt if none replied, with a verdict that covers all attempts.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	return c.doUntil(ctx, func(error) bool { return false }, method, path, in, out)
}

// doUntil is like do, and also ends with an attempt whose error is final.
func (c *Client) doUntil(ctx context.Context, final func(error) bool, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errors.Wrap(err, "encode request")
		}
	}
	if len(c.Addresses) == 0 {
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "no host is given; set -addr or HAWTHORNLOCK_ADDR")
	}
	attempts := verdict.NotRun
	var err error
	for _, addr := range c.Addresses {
		if ctx.Err() != nil {
			break
		}
		latest := c.try(ctx, method, "http://"+addr+"/v1/admin"+path, body, out)
		if !shouldTryNext(latest) || final(latest) {
			return latest
		}
		attempts = verdict.Join(attempts, errVerdict(latest))
		if isReply(latest) || !isReply(err) {
			err = latest
		}
	}
	if err == nil {
		return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeDeadlineExceeded, "no host was tried")
	}
	return verdict.Wrap(err, attempts, errCode(err), fmt.Sprintf("no host gave a final answer (tried %d)", len(c.Addresses)))
}

func (c *Client) try(ctx context.Context, method, url string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "address")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return verdict.Wrap(err, sendVerdict(err), verdict.CodeUnavailable, "host not reached")
	}
	defer resp.Body.Close()
	dec := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes))
	if httpanswer.Success(resp.StatusCode) {
		if err := dec.Decode(out); err != nil {
			return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeInternal, "unreadable reply")
		}
		return nil
	}
	var e Error
	if err := dec.Decode(&e); err != nil || e.Error.Code == "" {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "host answered %s without an error body; is it a hawthornlock host?", resp.Status)
	}
	return &RemoteError{Status: resp.StatusCode, Detail: e.Error}
}

// sendVerdict returns NotRun only if the connection could not be opened.
func sendVerdict(err error) verdict.Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// shouldTryNext reports whether another host may succeed: this one gave no
// readable reply, can't serve now, or does not know the outcome.
func shouldTryNext(err error) bool {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote.Status == http.StatusServiceUnavailable || remote.Status == http.StatusGatewayTimeout
	}
	return err != nil
}

// isReply reports whether an error is a reply of a host, which says more about
// the system than a failed connection.
func isReply(err error) bool {
	var remote *RemoteError
	return errors.As(err, &remote)
}

func errVerdict(err error) verdict.Verdict {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote.Detail.Verdict
	}
	return verdict.Of(err)
}

func errCode(err error) verdict.Code {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote.Detail.Code
	}
	return verdict.CodeOf(err)
}

// VerdictOf returns the verdict of an error that a Client returned.
func VerdictOf(err error) verdict.Verdict {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return errVerdict(err)
}

// NewHTTPClient returns an HTTP client that follows no redirects, so that a
// push never goes to an address that the operator did not give.
func NewHTTPClient(timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout:       timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
