// Command hawthornlock is the command-line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hawthornlock/hawthornlock/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.NewApp().Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
