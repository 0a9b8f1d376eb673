// Command rig plays the cases of the review: it starts the sender by the deploy file's command, with stand-ins for clients,
// endpoints and the platform, and judges by what these saw. It exits with 1 if a rule was broken, with 0 if it held and with
// 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit ends a case that does not end by itself.
const limit = 112 * time.Second

var cases = map[string]func(*world) (broken []string, err error){}

func main() {
	root := flag.String("root", ".", "the repository's root")
	record := flag.String("record", "record.txt", "where the record goes")
	trouble := flag.String("trouble", "1", "1: play the disruption, 0: play without; a case may know parts of it by name")
	seed := flag.Uint64("seed", 1, "for what the stand-ins draw")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "rig: no such case:", flag.Arg(0))
		os.Exit(2)
	}
	w, err := newWorld(*root, *record, *trouble, *seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		os.Exit(2)
	}
	w.note("case %s, trouble %s, seed %d", flag.Arg(0), *trouble, *seed)
	type result struct {
		broken []string
		err    error
	}
	over := make(chan result, 1)
	go func() {
		broken, err := play(w)
		over <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var r result
	select {
	case r = <-over:
	case sig := <-signals:
		r.err = fmt.Errorf("ended by signal %v", sig)
	case <-time.After(limit):
		r.err = fmt.Errorf("not over within %v", limit)
	}
	code := 0
	for _, b := range r.broken {
		w.note("BROKEN: %s", b)
		fmt.Println("broken:", b)
		code = 1
	}
	switch {
	case r.err != nil:
		w.note("could not run: %v", r.err)
		fmt.Fprintln(os.Stderr, "rig: could not run:", r.err)
		code = 2
	case code == 0:
		w.note("the rule held")
		fmt.Println("the rule held")
	}
	w.close()
	os.Exit(code)
}
