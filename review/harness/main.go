// Command harness plays the cases of the second review that are scripts. It starts the
// project's program as processes of their own, with stand-ins for the platform's
// store, the backend servers and the consumers on loopback addresses.
//
// Usage: harness CASE RECORD, in the root of the repository. It exits with 1 if the rule
// was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
// disruption out.
package main

import (
	"fmt"
	"os"
)

// cases maps the names of the cases to their functions, which report whether the rule held.
var cases = map[string]func(dir string, trouble bool) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("%v", err)
	}
	cleanups = append(cleanups, func() { _ = os.RemoveAll(dir) })
	f, err := os.Create(os.Args[2])
	if err != nil {
		fail("%v", err)
	}
	record.out = f
	held := cases[os.Args[1]](dir, os.Getenv("TROUBLE") != "0")
	cleanup()
	if !held {
		os.Exit(1)
	}
}
