// Command hawthornlockd is the daemon of the query tier. One runs on every
// host.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/daemon"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/settings"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	s, err := settings.Parse(args, os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return settings.ExitCode
	}
	if s.Seed == 0 {
		s.Seed = uint64(time.Now().UnixNano())
	}
	listeners, err := daemon.Listen(s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer listeners.Close()
	d, err := daemon.New(s, listeners, eventlog.New(os.Stderr, s.LogLevel, s.Host))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	go stopOnSignals(d)
	if err := d.Run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// stopOnSignals begins a graceful stop at the first signal and ends the host
// at the second.
func stopOnSignals(d *daemon.Daemon) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	for range signals {
		d.Stop()
	}
}
