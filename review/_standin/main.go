// Command standin plays the scripted cases of the review: it starts the hosts of a small
// deployment and stand-ins for the platform, the operator, searchers and clients.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		cannotRun("usage: standin CASE FOLDER")
	}
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(rec *record, trouble bool) string{
		"found": found, "gather": gather, "voters": voters, "stop": stop, "leave": leave,
	}
	play := cases[os.Args[1]]
	if play == nil {
		cannotRun("there is no case %q", os.Args[1])
	}
	rec := newRecord(os.Args[2])
	broken := play(rec, trouble)
	if broken != "" {
		rec.line("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		os.Exit(1)
	}
	rec.line("held")
	fmt.Println("held")
}
