// Command hawthorndemo demonstrates the query tier on one machine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/hawthornlock/hawthornlock/internal/demo"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := demo.Run(ctx, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}
