// Command lab3 plays the cases of the third review. It starts hosts as processes,
// with stand-ins for the platform's store, backend servers and callers on loopback
// addresses.
//
// Usage:
//
//	lab3 --case partial-outage --program target/siskinsaddle --record record.txt
//	lab3 --case resumed-stream --trouble=false --record record.txt
//
// It exits with 1 if the rule of the case was broken, with 0 if it held and with 2 if
// the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
)

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errSetup reports that a case could not run.
var errSetup = errors.New("the case could not run")

// playFunc plays a case and returns how the rule was broken, one line each.
type playFunc func(l *lab) ([]string, error)

var cases = map[string]playFunc{
	"failed-bookings": playFailedBookings,
	"lost-ends":       playLostEnds,
	"partial-outage":  playPartialOutage,
	"resumed-stream":  playResumedStream,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play: "+strings.Join(caseNames(), ", "))
	program := flag.String("program", "target/siskinsaddle", "the program of the hosts")
	record := flag.String("record", "record.txt", "the file that the record is written to")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return exitFailed
	}
	file, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	l, err := newLab(*program, *trouble, file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	broken, err := play(l)
	l.stop()
	for _, line := range broken {
		l.log("broken: %s", line)
	}
	l.log("trouble=%t violations=%d", *trouble, len(broken))
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case len(broken) > 0:
		fmt.Println("the rule was broken:", len(broken), "violations, the first:", broken[0])
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

func caseNames() []string {
	names := make([]string, 0, len(cases))
	for name := range cases {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
