// Command standin runs one case of the review: the controllers as separate processes, and stand-ins of
// the state service, the cloud, the workers and the users in this process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns the rules that were broken.
var cases = map[string]func(rec *record, trouble bool) []string{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: standin CASE record.txt")
	}
	rec := newRecord(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %v", os.Args[1], trouble)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	result := make(chan []string, 1)
	go func() { result <- cases[os.Args[1]](rec, trouble) }()
	select {
	case broken := <-result:
		if len(broken) > 0 {
			rec.printf("result: broken")
			fmt.Println("broken:", broken[0])
			os.Exit(1)
		}
		rec.printf("result: held")
		fmt.Println("held")
	case <-interrupted:
		cannotRun("interrupted")
	case <-time.After(118 * time.Second):
		cannotRun("the case took too long")
	}
}
