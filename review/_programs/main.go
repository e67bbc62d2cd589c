// Command programs plays the cases of the review: it starts controllers as processes and is itself the stand-in of
// their users, workers, cloud and state service.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	cannot   = 2
	notKnown = 64
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: programs CASE RECORD")
		os.Exit(notKnown)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(notKnown)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannot)
	}
	code := run(rec, os.Getenv("TROUBLE") != "0")
	rec.line("result: %d", code)
	rec.close()
	os.Exit(code)
}
