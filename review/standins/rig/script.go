package rig

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// maxScript is the longest time of a script.
const maxScript = 115 * time.Second

// Script runs a case in a new world and exits with its code. The arguments of the program
// are the path of the record and the command of a host. Play returns the breaches of the
// rule that it found.
func Script(play func(w *World) (breaches []string, err error)) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: CASE RECORD COMMAND")
		os.Exit(ExitNotRun)
	}
	w, err := NewWorld(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	w.Command = strings.Fields(os.Args[2])
	type outcome struct {
		breaches []string
		err      error
	}
	done := make(chan outcome, 1)
	go func() {
		b, err := play(w)
		done <- outcome{b, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	result := outcome{err: fmt.Errorf("ended before its result")}
	select {
	case result = <-done:
	case <-stopped:
	case <-time.After(maxScript):
	}
	code := ExitHeld
	for _, b := range result.breaches {
		w.Record.Logf("BROKEN: %s", b)
		code = ExitBroken
	}
	if result.err != nil {
		w.Record.Logf("could not run: %v", result.err)
		fmt.Fprintln(os.Stderr, result.err)
		code = ExitNotRun
	}
	w.Record.Logf("exit with %d, trouble=%v, %d breaches", code, Trouble(), len(result.breaches))
	// Printing can end the program, if its output is a closed pipe.
	w.Stop()
	fmt.Printf("exit %d, trouble=%v, %d breaches\n", code, Trouble(), len(result.breaches))
	for _, b := range result.breaches[:min(len(result.breaches), 5)] {
		fmt.Println("  " + b)
	}
	os.Exit(code)
}
