// Command hawthornlockd is the daemon of the query tier. One runs on every
// host. If the environment names a platform's settings file, it speaks the
// protocols of that platform.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/daemon"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/settings"
	"github.com/hawthornlock/hawthornlock/platform"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	s, adapters, err := load(args)
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
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(collectorLimit(s.MemoryLimit))
	}
	output := eventlog.NonBlocking(os.Stdout)
	defer func() { _ = output.Close() }()
	log := eventlog.New(output, s.LogLevel, s.Host)
	listeners, err := daemon.Listen(s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer listeners.Close()
	d, err := daemon.New(s, listeners, log, adapters...)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	go handleSignals(d)
	if err := d.Run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// collectorShare is the share of the memory limit from which the garbage collector
// works harder. The rest is for memory that the collector does not count, such as
// socket buffers and the program itself.
const collectorShare = 0.8

// programBytes is set aside for what does not grow with the memory limit: the pages of the
// program, 16 MB, and what the process grows by during a collection. With 0.8 of 64 MB
// alone, a process that clients sent large bodies to grew to 62 MB, and with 24 MB set
// aside to 58 MB.
const programBytes = 28 << 20

func collectorLimit(limit uint64) int64 {
	return min(int64(collectorShare*float64(limit)), int64(limit)-programBytes)
}

// load reads the settings from the platform's settings file, if the environment
// names one, or from flags and environment variables.
func load(args []string) (*settings.Settings, []daemon.Adapter, error) {
	if path := os.Getenv(platform.SettingsVariable); path != "" {
		s, err := platform.Load(path)
		return s, []daemon.Adapter{platform.Adapter()}, err
	}
	s, err := settings.Parse(args, os.Stderr)
	return s, nil, err
}

// handleSignals begins a graceful stop on the first SIGTERM or interrupt and ends
// the host on the second. SIGHUP reloads the peers and must not end the process.
func handleSignals(d *daemon.Daemon) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	for sig := range signals {
		if sig == syscall.SIGHUP {
			d.Reload(reloadPeers)
			continue
		}
		d.Stop()
	}
}

// reloadPeers reads the settings again for the addresses of other hosts. No
// other setting changes while the process runs.
func reloadPeers() (*settings.Settings, error) {
	s, _, err := load(os.Args[1:])
	return s, err
}
