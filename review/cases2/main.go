// Command cases2 plays the cases of the second review. Each case starts the sender by the deploy file's run line, with
// stand-ins of its own on loopback addresses, and judges what clients, endpoints and the platform saw. It exits with 1
// if the rule was broken, 0 if it held and 2 if the case could not run.
//
//	cases2 NUMBER FOLDER
//
// FOLDER is the folder of the case: record.txt is written there. With TROUBLE=0 in the environment the case is played
// without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit ends a case that does not end by itself.
const caseLimit = 115 * time.Second

// play plays a case and returns what was broken, one line each. An error means that the case could not run.
type play func(h *harness, trouble bool) (broken []string, err error)

var cases = map[int]play{}

func main() {
	os.Exit(run(os.Args[1:], os.Getenv("TROUBLE") != "0"))
}

func run(args []string, trouble bool) int {
	if len(args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: cases2 NUMBER FOLDER")
		return exitNotRun
	}
	number, err := strconv.Atoi(args[0])
	if err != nil || cases[number] == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", args[0])
		return exitNotRun
	}
	h, err := newHarness(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	finished := make(chan int, 1)
	go func() { finished <- judge(h, cases[number], trouble) }()
	code := exitNotRun
	select {
	case code = <-finished:
	case <-interrupted:
		fmt.Fprintln(os.Stderr, "interrupted")
	case <-time.After(caseLimit):
		fmt.Fprintln(os.Stderr, "the case did not end in time")
	}
	h.close()
	return code
}

// judge plays a case and turns its findings into an exit code.
func judge(h *harness, p play, trouble bool) int {
	h.note("case begins, trouble %v", trouble)
	broken, err := p(h, trouble)
	if err == nil && len(broken) == 0 {
		err = h.unfit() // a rule that nothing has tried has not held
	}
	switch {
	case err != nil:
		h.note("NOT RUN: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, line := range broken {
			h.note("BROKEN: %s", line)
			fmt.Println("broken:", line)
		}
		return exitBroken
	}
	h.note("held")
	fmt.Println("held")
	return exitHeld
}
