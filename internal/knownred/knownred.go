// Package knownred handles the list of tests that are known to fail because of a fault that is not fixed yet
// (KNOWN-RED.txt). It parses and checks the list, builds the pattern that skips the listed tests, and reruns them. It
// must never decide that a test may fail: only the list does.
package knownred

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
)

// Entry is a line of the list: "TEST|COMMAND|WHAT WAS SEEN|issue N".
type Entry struct {
	Line    int    // line number
	Test    string // name of a test of this module, or of a subtest: Test/subtest/subtest
	Command string // shell command that runs the test, with its seed, from the root of the repository
	Symptom string // how the test failed
	Issue   int    // number of the issue that tracks the fault
}

// ErrLine is wrapped by every LineError.
var ErrLine = errors.New("malformed line")

// LineError describes an invalid line.
type LineError struct {
	Line int
	Text string
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Text) }

// Unwrap lets errors.Is find ErrLine.
func (e *LineError) Unwrap() error { return ErrLine }

var (
	testNamePattern = regexp.MustCompile(`^Test[A-Z0-9]\w*(/[\w-]+)*$`)
	issuePattern    = regexp.MustCompile(`^issue ([1-9]\d*)$`)
)

// fieldCount is the number of fields of a line.
const fieldCount = 4

// Parse parses a list. Empty lines are ignored. If lines are invalid, Parse returns the valid entries and an error that
// joins the LineError of each invalid line.
func Parse(r io.Reader) (entries []Entry, err error) {
	var errs []error
	lines := bufio.NewScanner(r)
	for line := 1; lines.Scan(); line++ {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		entry, err := parseLine(line, lines.Text())
		if err != nil {
			errs = append(errs, err)
			continue
		}
		entries = append(entries, entry)
	}
	return entries, errors.Join(append(errs, lines.Err())...)
}

func parseLine(line int, text string) (Entry, error) {
	fields := strings.Split(text, "|")
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	invalid := func(reason string) (Entry, error) { return Entry{}, &LineError{line, reason} }
	if len(fields) != fieldCount {
		const form = "test|command with seed|what was seen|issue N"
		return invalid(fmt.Sprintf("%d fields, want %d: %s", len(fields), fieldCount, form))
	}
	test, command, symptom, issue := fields[0], fields[1], fields[2], fields[3]
	switch {
	case !testNamePattern.MatchString(test):
		return invalid(fmt.Sprintf("%q is not the name of a test", test))
	case command == "":
		return invalid("the command is missing")
	case symptom == "":
		return invalid("the description of what was seen is missing")
	}
	match := issuePattern.FindStringSubmatch(issue)
	if match == nil {
		return invalid(fmt.Sprintf(`%q, want "issue N"`, issue))
	}
	number, err := strconv.Atoi(match[1])
	if err != nil {
		return invalid(fmt.Sprintf("%q: the number is too large", issue))
	}
	return Entry{Line: line, Test: test, Command: command, Symptom: symptom, Issue: number}, nil
}

// Check returns an error for the entries that name a test which is not among tests, and for those that name the same
// test as an earlier entry.
func Check(entries []Entry, tests []string) error {
	known := map[string]bool{}
	for _, name := range tests {
		known[name] = true
	}
	var errs []error
	lineOf := map[string]int{} // by test
	for _, e := range entries {
		if !known[e.topLevel()] {
			errs = append(errs, &LineError{e.Line, fmt.Sprintf("test %s does not exist", e.Test)})
		}
		if earlier := lineOf[e.Test]; earlier > 0 {
			errs = append(errs, &LineError{e.Line, fmt.Sprintf("%s is already listed in line %d", e.Test, earlier)})
		}
		lineOf[e.Test] = e.Line
	}
	return errors.Join(errs...)
}

// topLevel returns the name of the test that go test lists: that of the entry without its subtests.
func (e Entry) topLevel() string {
	name, _, _ := strings.Cut(e.Test, "/")
	return name
}

// ListPattern returns a pattern for go test's -list that matches the names of the listed tests, or of the tests that the
// listed subtests belong to, and no others.
func ListPattern(entries []Entry) string {
	var names []string
	for _, e := range entries {
		names = append(names, "^"+e.topLevel()+"$")
	}
	return strings.Join(names, "|")
}

// SkipPattern returns a pattern for go test's -skip that matches the names of the listed tests and no others. It is
// empty for an empty list.
func SkipPattern(entries []Entry) string {
	var names []string
	for _, e := range entries {
		names = append(names, "^"+strings.ReplaceAll(e.Test, "/", "$/^")+"$")
	}
	return strings.Join(names, "|")
}

// Rerun runs an entry's command the given number of times and counts how often it passed and failed. The output of the
// command is written to out.
func Rerun(ctx context.Context, e Entry, times int, out io.Writer) (passed, failed int, err error) {
	for range times {
		command := exec.CommandContext(ctx, "sh", "-c", e.Command)
		command.Stdout, command.Stderr = out, out
		var exitErr *exec.ExitError
		switch err := command.Run(); {
		case ctx.Err() != nil:
			return passed, failed, ctx.Err()
		case err == nil:
			passed++
		case errors.As(err, &exitErr):
			failed++
		default:
			return passed, failed, fmt.Errorf("line %d: %q: %w", e.Line, e.Command, err)
		}
	}
	return passed, failed, nil
}
