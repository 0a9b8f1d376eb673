// Command knownred checks KNOWN-RED.txt, the list of tests that are known to fail because of a fault that is not fixed
// yet, and reruns the listed tests. It must be run in the root of the repository.
//
//	knownred skip     checks the list, prints it to standard error and prints a pattern for go test's -skip
//	knownred play N   runs each entry's command N times and prints how often it passed and failed
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

const listFile = "KNOWN-RED.txt"

var errUsage = errors.New("usage: knownred skip, or knownred play N with N of at least 1")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	entries, err := readList()
	if err != nil {
		return fmt.Errorf("%s: %w", listFile, err)
	}
	switch {
	case len(args) == 1 && args[0] == "skip":
		for _, e := range entries {
			fmt.Fprintf(os.Stderr, "known red, passed over: %s: %s (issue %d; %s)\n",
				e.Test, e.Symptom, e.Issue, e.Command)
		}
		fmt.Println(knownred.SkipPattern(entries))
		return nil
	case len(args) == 2 && args[0] == "play":
		times, err := strconv.Atoi(args[1])
		if err != nil || times < 1 {
			return errUsage
		}
		return rerunAll(ctx, entries, times)
	}
	return errUsage
}

// readList parses the list and checks that the listed tests exist in the module. A missing file is an empty list.
func readList() ([]knownred.Entry, error) {
	f, err := os.Open(listFile)
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
	output, err := exec.Command("go", "test", "-list", knownred.ListPattern(entries), "./...").Output()
	if err != nil {
		return nil, fmt.Errorf("listing the module's tests: %w", err)
	}
	return entries, knownred.Check(entries, strings.Fields(string(output)))
}

// rerunAll runs the command of each entry the given number of times and prints the results.
func rerunAll(ctx context.Context, entries []knownred.Entry, times int) error {
	for _, e := range entries {
		passed, failed, err := knownred.Rerun(ctx, e, times, io.Discard)
		fmt.Printf("%s: %d passed, %d fell (%s)\n", e.Test, passed, failed, e.Command)
		if err != nil {
			return err
		}
	}
	return nil
}
