// Command hawthornbench measures data path policies in virtual time and prints
// tables. Its output depends only on its flags.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"

	"github.com/hawthornlock/hawthornlock/internal/query/querybench"
)

func main() {
	quick := flag.Bool("quick", false, "run few queries per case")
	flag.Parse()
	scale := querybench.Full
	if *quick {
		scale = querybench.Quick
	}
	scale.Workers = runtime.GOMAXPROCS(0)
	if err := querybench.Report(os.Stdout, scale); err != nil {
		fmt.Fprintln(os.Stderr, "hawthornbench:", err)
		os.Exit(1)
	}
}
