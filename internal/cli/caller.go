package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/config/confighttp"
	"github.com/hawthornlock/hawthornlock/internal/httpanswer"
	"github.com/hawthornlock/hawthornlock/internal/orders"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// maxCallerReply bounds the part of a reply that is read, in bytes.
const maxCallerReply = 64 << 20

// callerGrace is how much longer than the host's deadline the tool waits.
const callerGrace = time.Second

// queryRequest is the body of POST /v1/query.
type queryRequest struct {
	Team        string            `json:"team"`
	Labels      map[string]string `json:"labels"`
	Group       string            `json:"group,omitempty"`
	Terms       string            `json:"terms"`
	K           int               `json:"k"`
	TimeoutMS   int64             `json:"timeout_ms"`
	MinCoverage float64           `json:"min_coverage,omitempty"`
}

// queryReply holds the fields of the reply that the tool shows.
type queryReply struct {
	RequestID     string `json:"request_id"`
	Group         string `json:"group"`
	IndexSnapshot string `json:"index_snapshot"`
	Coverage      struct {
		Total    int      `json:"total"`
		Answered []string `json:"answered"`
		Missing  []struct {
			Shard  string `json:"shard"`
			Reason string `json:"reason"`
		} `json:"missing"`
	} `json:"coverage"`
	Hits []struct {
		ID    string  `json:"id"`
		Score float64 `json:"score"`
		Text  string  `json:"text"`
	} `json:"hits"`
}

// orderRequest is the body of POST /v1/orders.
type orderRequest struct {
	RequestID string            `json:"request_id"`
	Team      string            `json:"team"`
	Labels    map[string]string `json:"labels"`
	Group     string            `json:"group,omitempty"`
	Body      string            `json:"body"`
	TimeoutMS int64             `json:"timeout_ms"`
	First     bool              `json:"first_attempt,omitempty"` // the ID is new
}

// callerFlags are the flags of commands that act as a caller.
type callerFlags struct {
	addr, team, labels, group string
}

func (f *callerFlags) register(a *App, fs *flag.FlagSet) {
	fs.StringVar(&f.addr, "caller-addr", a.envOr("HAWTHORNLOCK_CALLER_ADDR", defaultCallerAddress), "caller `addresses` of hosts, separated by commas (HAWTHORNLOCK_CALLER_ADDR)")
	f.registerRequest(fs)
}

func (f *callerFlags) registerRequest(fs *flag.FlagSet) {
	fs.StringVar(&f.team, "team", "", "`team` of the request")
	fs.StringVar(&f.labels, "labels", "", "`labels` of the request, as key=value,key=value")
	fs.StringVar(&f.group, "group", "", "`group` to ask; the selectors choose if empty")
}

// call sends one request as a caller. The next address is tried only if the
// connection could not be set up, so that an order is never sent twice.
func (c *common) call(ctx context.Context, addrs, method, path string, in any) (json.RawMessage, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
	}
	hosts, err := addresses("-caller-addr", addrs)
	if err != nil {
		return nil, err
	}
	for _, addr := range hosts {
		var reply json.RawMessage
		reply, err = c.callOne(ctx, method, "http://"+addr+path, body)
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			return reply, err
		}
		err = verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "host not reached")
	}
	return nil, err
}

func (c *common) callOne(ctx context.Context, method, url string, body []byte) (json.RawMessage, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, usageError{err}
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := confighttp.NewHTTPClient(0)
	client.Transport = &http.Transport{DisableKeepAlives: true}
	resp, err := client.Do(req)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable, "no reply")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxCallerReply))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable, "reply cut off")
	}
	if httpanswer.Success(resp.StatusCode) {
		return raw, nil
	}
	var e confighttp.Error
	if json.Unmarshal(raw, &e) != nil || e.Error.Code == "" {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "host answered %s without an error body", resp.Status)
	}
	return nil, &confighttp.RemoteError{Status: resp.StatusCode, Detail: e.Error}
}

func querySpec(a *App) spec {
	f := &callerFlags{}
	k, minCoverage := 10, 0.0
	return spec{
		name: "query", args: "TERM...", short: "Send a query as a caller would",
		examples: []string{"hawthornlock query -team showroom -labels app=showroom -k 5 arrow", "hawthornlock query -team rounds -group round-planner -min-coverage 1 -timeout 2s left"},
		flags: func(fs *flag.FlagSet) {
			f.register(a, fs)
			fs.IntVar(&k, "k", 10, "`number` of hits wanted")
			fs.Float64Var(&minCoverage, "min-coverage", 0, "`share` of shards that must answer, 0 to 1")
		},
		minArgs: 1, maxArgs: 64, grace: callerGrace,
		run: func(ctx context.Context, c *common, args []string) error {
			labels, err := parseLabels(f.labels)
			if err != nil {
				return err
			}
			req := queryRequest{
				Team: f.team, Labels: labels, Group: f.group, Terms: strings.Join(args, " "), K: k,
				TimeoutMS: c.timeout.Milliseconds(), MinCoverage: minCoverage,
			}
			return c.query(ctx, f.addr, req)
		},
	}
}

func (c *common) query(ctx context.Context, addrs string, req queryRequest) error {
	raw, err := c.call(ctx, addrs, http.MethodPost, "/v1/query", req)
	if err != nil {
		return err
	}
	var r queryReply
	if err := json.Unmarshal(raw, &r); err != nil {
		return errors.Wrap(err, "unreadable reply")
	}
	return c.print(raw, func(w io.Writer) {
		t := newTable(w, "ID", "SCORE", "TEXT")
		for _, h := range r.Hits {
			t.row(h.ID, strconv.FormatFloat(h.Score, 'g', 5, 64), h.Text)
		}
		_ = t.w.Flush()
		fmt.Fprintf(w, "%d hits from group %s, index snapshot %s, %d of %d shards (request %s)\n",
			len(r.Hits), r.Group, r.IndexSnapshot, len(r.Coverage.Answered), r.Coverage.Total, r.RequestID)
		for _, m := range r.Coverage.Missing {
			fmt.Fprintf(w, "missing shard %s: %s\n", m.Shard, m.Reason)
		}
	})
}

func orderSpecs(a *App) []spec {
	place, status := &callerFlags{}, &callerFlags{}
	id := ""
	return []spec{
		{
			name: "place", args: "FILE", short: "Place an order with the body in a file, or standard input if FILE is -",
			long: "The request ID is printed before anything is sent. If the outcome is unknown,\nrepeat the command with -request-id: the order still runs at most once.",
			examples: []string{
				"hawthornlock order place -team showroom -labels app=desk order.json",
				"hawthornlock order place -request-id 019af3c0-5d6e-7c3a-9b1f-2f1e0d9c8b7a -team showroom -labels app=desk order.json",
			},
			flags: func(fs *flag.FlagSet) {
				place.register(a, fs)
				fs.StringVar(&id, "request-id", "", "`ID` of an order to repeat; a new one if empty")
			}, minArgs: 1, maxArgs: 1, grace: callerGrace,
			run: func(ctx context.Context, c *common, args []string) error {
				return c.placeOrder(ctx, place, id, args[0])
			},
		},
		{
			name: "status", args: "REQUEST-ID", short: "Show the outcome of an order",
			examples: []string{"hawthornlock order status 019af3c0-5d6e-7c3a-9b1f-2f1e0d9c8b7a"},
			flags: func(fs *flag.FlagSet) {
				fs.StringVar(&status.addr, "caller-addr", a.envOr("HAWTHORNLOCK_CALLER_ADDR", defaultCallerAddress), "caller `addresses` of hosts, separated by commas")
			}, minArgs: 1, maxArgs: 1,
			run: func(ctx context.Context, c *common, args []string) error {
				raw, err := c.call(ctx, status.addr, http.MethodGet, "/v1/orders/"+url.PathEscape(args[0]), nil)
				if err != nil {
					return err
				}
				return c.printOrder(raw)
			},
		},
	}
}

func (c *common) placeOrder(ctx context.Context, f *callerFlags, id, file string) error {
	labels, err := parseLabels(f.labels)
	if err != nil {
		return err
	}
	body, err := c.app.readBody(file)
	if err != nil {
		return err
	}
	first := id == ""
	if first {
		id = orders.NewRequestID(c.app.Now(), c.app.Random())
	} else if _, err := orders.IssuedAt(id); err != nil {
		return usageError{err}
	}
	fmt.Fprintf(c.app.Stderr, "Request ID %s\n", id)
	raw, err := c.call(ctx, f.addr, http.MethodPost, "/v1/orders", orderRequest{
		RequestID: id, Team: f.team, Labels: labels, Group: f.group, Body: body, TimeoutMS: c.timeout.Milliseconds(), First: first,
	})
	if err != nil {
		if confighttp.VerdictOf(err) == verdict.MayHaveRun {
			return errors.Wrapf(err, "the order may have run; repeat the command with -request-id %s to learn its result", id)
		}
		return err
	}
	return c.printOrder(raw)
}

func (a *App) readBody(file string) (string, error) {
	read := func() ([]byte, error) { return os.ReadFile(file) }
	if file == "-" {
		read = func() ([]byte, error) { return io.ReadAll(io.LimitReader(a.Stdin, confighttp.MaxBodyBytes+1)) }
	}
	body, err := read()
	if err != nil {
		return "", usagef("order file: %v", err)
	}
	if len(body) > confighttp.MaxBodyBytes || !utf8.Valid(body) {
		return "", usagef("order file %s is larger than 1 MiB or not UTF-8 text", file)
	}
	return string(body), nil
}

func (c *common) printOrder(raw json.RawMessage) error {
	return c.print(raw, func(w io.Writer) {
		var pretty bytes.Buffer
		if json.Indent(&pretty, raw, "", "  ") != nil {
			pretty.Write(raw)
		}
		fmt.Fprintln(w, strings.TrimSpace(pretty.String()))
	})
}

func explainSpec(_ *App) spec {
	f := &callerFlags{}
	return spec{
		name: "explain", short: "Show which selector wins for a request, and why the others do not",
		examples: []string{"hawthornlock explain -team showroom -labels app=showroom,site=thu-duc"},
		flags:    f.registerRequest,
		run: func(ctx context.Context, c *common, _ []string) error {
			labels, err := parseLabels(f.labels)
			if err != nil {
				return err
			}
			return c.explain(ctx, confighttp.Request{Team: f.team, Labels: labels, Group: f.group})
		},
	}
}

func (c *common) explain(ctx context.Context, r confighttp.Request) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	e, err := client.Explain(ctx, r)
	if err != nil {
		return readError{err}
	}
	return c.print(e, func(w io.Writer) {
		if e.Winner != nil {
			fmt.Fprintf(w, "Revision %d: the request reaches group %s through selector %s.\n", e.Revision, e.Winner.Group, e.Winner.Name)
		} else {
			fmt.Fprintf(w, "Revision %d: the request is refused: %s\n", e.Revision, e.Error)
		}
		t := newTable(w, "SELECTOR", "GROUP", "MATCHES", "WHY")
		for _, j := range e.Selectors {
			t.row(j.Selector.Name, j.Selector.Group, yesNo(j.Matches), j.Reason)
		}
		_ = t.w.Flush()
	})
}

// versionInfo is the output of version.
type versionInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func versionSpec(_ *App) spec {
	return spec{
		name: "version", short: "Show the version of this tool",
		run: func(_ context.Context, c *common, _ []string) error {
			v := versionInfo{Version: "unknown"}
			if info, ok := debug.ReadBuildInfo(); ok {
				v.Version, v.Go = info.Main.Version, info.GoVersion
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						v.Revision = s.Value
					}
				}
			}
			return c.print(v, func(w io.Writer) { fmt.Fprintf(w, "hawthornlock %s %s (%s)\n", v.Version, v.Revision, v.Go) })
		},
	}
}
