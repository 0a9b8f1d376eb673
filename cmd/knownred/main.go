// Command knownred checks KNOWN-RED.txt and plays what it lists. It runs in the root of the repository.
//
//	knownred skip     checks the list, shows it on standard error and prints a pattern for go test's -skip
//	knownred play N   plays each entry's command N times and prints how often it passed and fell
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"

	"eiderhaven/internal/knownred"
)

const list = "KNOWN-RED.txt"

var errUsage = errors.New("usage: knownred skip, or knownred play N with N from 1 on")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	entries, err := read()
	if err != nil {
		return fmt.Errorf("%s: %w", list, err)
	}
	switch {
	case len(args) == 1 && args[0] == "skip":
		for _, e := range entries {
			fmt.Fprintf(os.Stderr, "known red, passed over: %s: %s (issue %d; %s)\n", e.Test, e.Symptom, e.Issue, e.Command)
		}
		fmt.Println(knownred.SkipPattern(entries))
		return nil
	case len(args) == 2 && args[0] == "play":
		times, err := strconv.Atoi(args[1])
		if err != nil || times < 1 {
			return errUsage
		}
		return play(ctx, entries, times)
	}
	return errUsage
}

// read reads the list, which may be missing, and checks it against the module's tests.
func read() ([]knownred.Entry, error) {
	f, err := os.Open(list)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	entries, err := knownred.Parse(f)
	if err != nil || len(entries) == 0 {
		return nil, err
	}
	out, err := exec.Command("go", "test", "-list", knownred.SkipPattern(entries), "./...").Output()
	if err != nil {
		return nil, fmt.Errorf("listing tests: %w", err)
	}
	return entries, knownred.Check(entries, strings.Fields(string(out)))
}

func play(ctx context.Context, entries []knownred.Entry, times int) error {
	for _, e := range entries {
		passed, fell, err := knownred.Rerun(ctx, e, times, io.Discard)
		fmt.Printf("%s: %d passed, %d fell (%s)\n", e.Test, passed, fell, e.Command)
		if err != nil {
			return err
		}
	}
	return nil
}
