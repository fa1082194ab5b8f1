// Package cli implements the command-line tool for operators.
package cli

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/hawthornlock/hawthornlock/internal/config/confighttp"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Exit codes.
const (
	exitDone       = 0
	exitOther      = 1
	exitUsage      = 2
	exitNotRun     = 3
	exitMayHaveRun = 4
)

// Addresses of a host on the operator's own machine.
const (
	defaultAdminAddress  = "127.0.0.1:7403"
	defaultCallerAddress = "127.0.0.1:7401"
)

// App is the command-line tool with the parts of its process that it uses.
type App struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	Getenv         func(string) string
	Now            func() time.Time
	Random         func() [10]byte
}

// NewApp returns the tool for this process.
func NewApp() *App {
	return &App{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, Now: time.Now,
		Random: func() (b [10]byte) {
			_, _ = rand.Read(b[:]) // never fails
			return b
		},
	}
}

// usageError is an error in the command line. Nothing was sent.
type usageError struct{ error }

func usagef(format string, args ...any) error {
	return usageError{errors.Newf(format, args...)}
}

// readError is a failed read, which changed nothing.
type readError struct{ error }

// Unwrap returns the cause.
func (e readError) Unwrap() error { return e.error }

// exitError is an error with its own exit code.
type exitError struct {
	error
	code int
}

// Run runs a command line, given without the program's name, and returns the
// exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	root := a.root()
	err := root.Parse(args)
	var noExec ffcli.NoExecError
	switch {
	case err == nil:
		err = root.Run(ctx)
	case !errors.Is(err, flag.ErrHelp) && !errors.As(err, &noExec):
		err = usageError{err}
	}
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitDone
	case errors.As(err, &noExec):
		fmt.Fprintln(a.Stderr, ffcli.DefaultUsageFunc(noExec.Command))
		if rest := noExec.Command.FlagSet.Args(); len(rest) > 0 {
			fmt.Fprintf(a.Stderr, "hawthornlock: unknown command %q\n", rest[0])
		}
		return exitUsage
	}
	fmt.Fprintln(a.Stderr, "hawthornlock:", err)
	if hint := hintFor(err); hint != "" {
		fmt.Fprintln(a.Stderr, hint)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var fail exitError
	var usage usageError
	var read readError
	var own *verdict.Error
	var remote *confighttp.RemoteError
	switch {
	case errors.As(err, &fail):
		return fail.code
	case errors.As(err, &usage):
		return exitUsage
	case !errors.As(err, &own) && !errors.As(err, &remote):
		return exitOther
	}
	switch confighttp.VerdictOf(err) {
	case verdict.NotRun:
		return exitNotRun
	case verdict.MayHaveRun:
		if errors.As(err, &read) {
			return exitOther
		}
		return exitMayHaveRun
	default:
		return exitOther
	}
}

// hintFor returns the next step for errors whose message does not name it.
func hintFor(err error) string {
	var remote *confighttp.RemoteError
	switch {
	case errors.As(err, &remote) && remote.Detail.Code == "unauthorized":
		return "Set HAWTHORNLOCK_TOKEN, or -token-file to a file that holds your team's token."
	case errors.As(err, &remote) && remote.Detail.Conflict != nil:
		return fmt.Sprintf("See it with: hawthornlock change diff %d", remote.Detail.Conflict.Revision)
	case errors.As(err, &remote):
		return ""
	case verdict.CodeOf(err) == verdict.CodeUnavailable && verdict.Of(err) == verdict.NotRun:
		return "Check the addresses (-addr, -caller-addr) and try another host; several are separated by commas."
	}
	return ""
}

// common holds the flags of every command.
type common struct {
	app       *App
	addr      string
	tokenFile string
	output    string
	timeout   time.Duration
}

func (a *App) envOr(name, fallback string) string {
	if v := a.Getenv(name); v != "" {
		return v
	}
	return fallback
}

func (c *common) register(fs *flag.FlagSet) {
	fs.StringVar(&c.addr, "addr", c.app.envOr("HAWTHORNLOCK_ADDR", defaultAdminAddress), "administration `addresses` of hosts, separated by commas (HAWTHORNLOCK_ADDR)")
	fs.StringVar(&c.tokenFile, "token-file", c.app.Getenv("HAWTHORNLOCK_TOKEN_FILE"), "`file` with the bearer token (HAWTHORNLOCK_TOKEN_FILE, or the token itself in HAWTHORNLOCK_TOKEN)")
	fs.StringVar(&c.output, "o", "table", "output `format`: table or json")
	fs.DurationVar(&c.timeout, "timeout", 10*time.Second, "time to wait for an answer")
}

// client returns a client of the administration API.
func (c *common) client() (*confighttp.Client, error) {
	token := c.app.Getenv("HAWTHORNLOCK_TOKEN")
	if c.tokenFile != "" {
		text, err := os.ReadFile(c.tokenFile)
		if err != nil {
			return nil, usagef("token file: %v", err)
		}
		token = strings.TrimSpace(string(text))
	}
	addrs, err := addresses("-addr", c.addr)
	if err != nil {
		return nil, err
	}
	perAddress := c.timeout / time.Duration(max(1, len(addrs))) // a host that hangs leaves time for the next
	return &confighttp.Client{Addresses: addrs, Token: token, HTTP: confighttp.NewHTTPClient(perAddress)}, nil
}

// addresses parses the list of addresses in a flag.
func addresses(flagName, text string) ([]string, error) {
	addrs := splitList(text)
	if len(addrs) == 0 {
		return nil, usagef("%s names no host", flagName)
	}
	for _, addr := range addrs {
		host, port, err := net.SplitHostPort(addr)
		if err == nil {
			_, err = strconv.ParseUint(port, 10, 16)
		}
		if err != nil || host == "" {
			return nil, usagef("%s %q is not a host's IP address and port, such as %s", flagName, addr, defaultAdminAddress)
		}
	}
	return addrs, nil
}

func splitList(s string) []string {
	var out []string
	for _, p := range strings.Split(s, ",") {
		if p = strings.TrimSpace(p); p != "" {
			out = append(out, p)
		}
	}
	return out
}

// spec describes a command without subcommands.
type spec struct {
	name, args, short, long string
	examples                []string
	flags                   func(*flag.FlagSet)
	minArgs, maxArgs        int
	grace                   time.Duration // added to -timeout, which the host enforces
	run                     func(ctx context.Context, c *common, args []string) error
}

// command builds a command. Flags may stand before and after the arguments:
// "change push FILE -dry-run" must not push.
func (a *App) command(parent string, s spec) *ffcli.Command {
	fs := a.flagSet(s.name)
	c := &common{app: a}
	c.register(fs)
	if s.flags != nil {
		s.flags(fs)
	}
	usage := strings.Join(strings.Fields("hawthornlock "+parent+" "+s.name+" [flags] "+s.args), " ")
	return &ffcli.Command{
		Name: s.name, ShortUsage: usage, ShortHelp: s.short, FlagSet: fs,
		LongHelp: longHelp(s),
		Exec: func(ctx context.Context, args []string) error {
			positional, err := parseIntermixed(fs, args)
			if err != nil {
				return err
			}
			if len(positional) < s.minArgs || len(positional) > s.maxArgs {
				return usagef("usage: %s (see -h)", usage)
			}
			if c.output != "table" && c.output != "json" {
				return usagef("-o %s is neither table nor json", c.output)
			}
			if c.timeout <= 0 {
				return usagef("-timeout %s is not positive", c.timeout)
			}
			ctx, cancel := context.WithTimeout(ctx, c.timeout+s.grace)
			defer cancel()
			return s.run(ctx, c, positional)
		},
	}
}

func longHelp(s spec) string {
	text := s.short + "."
	if s.long != "" {
		text += "\n\n" + s.long
	}
	if len(s.examples) > 0 {
		text += "\n\nEXAMPLES\n  " + strings.Join(s.examples, "\n  ")
	}
	return text
}

func (a *App) flagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(a.Stderr)
	return fs
}

// parseIntermixed parses the flags that follow positional arguments and returns
// the positional ones.
func parseIntermixed(fs *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for len(args) > 0 {
		positional = append(positional, args[0])
		if err := fs.Parse(args[1:]); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, err
			}
			return nil, usageError{err}
		}
		args = fs.Args()
	}
	return positional, nil
}

// group builds a command that only holds subcommands.
func (a *App) group(name, short string, specs ...spec) *ffcli.Command {
	cmd := &ffcli.Command{
		Name: name, ShortUsage: "hawthornlock " + name + " <command>", ShortHelp: short, FlagSet: a.flagSet(name),
	}
	for _, s := range specs {
		cmd.Subcommands = append(cmd.Subcommands, a.command(name, s))
	}
	return cmd
}

func (a *App) root() *ffcli.Command {
	return &ffcli.Command{
		Name: "hawthornlock", ShortUsage: "hawthornlock <command>", FlagSet: a.flagSet("hawthornlock"),
		LongHelp: "Operates a hawthornlock query tier.\n\n" +
			"Exit codes: 0 done, 1 other failure, 2 usage, 3 not run, 4 may have run.\n" +
			"After 4, ask with change status or order status, or repeat the same command.",
		Subcommands: []*ffcli.Command{
			a.group("group", "List, put and delete groups of targets", groupSpecs(a)...),
			a.group("selector", "List, put and delete selectors", selectorSpecs(a)...),
			a.group("target", "List targets and show why they are in a group", targetSpecs(a)...),
			a.group("change", "Push changes and follow what becomes of them", changeSpecs(a)...),
			a.command("", querySpec(a)),
			a.group("order", "Place an order and ask for its outcome", orderSpecs(a)...),
			a.group("voter", "Show and remove the hosts that hold the log", voterSpecs(a)...),
			a.group("domain", "Show, withdraw and restore failure domains", domainSpecs(a)...),
			a.group("host", "Show, drain, resume and forget hosts", hostSpecs(a)...),
			a.command("", explainSpec(a)),
			a.group("route", "Explain where requests of the route plan go", routeSpecs(a)...),
			a.command("", versionSpec(a)),
		},
	}
}
