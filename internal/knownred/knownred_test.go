package knownred

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	entries, err := Parse(strings.NewReader("TestA|go test -run '^TestA$' ./a|seed 3 fell on 1 of 4|issue 50\n\nTestB | go test ./b | fell | issue 7\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := []Entry{{1, "TestA", "go test -run '^TestA$' ./a", "seed 3 fell on 1 of 4", 50}, {3, "TestB", "go test ./b", "fell", 7}}
	if len(entries) != 2 || entries[0] != want[0] || entries[1] != want[1] {
		t.Errorf("entries %+v, want %+v", entries, want)
	}
	if got := SkipPattern(entries); got != "^TestA$|^TestB$" {
		t.Errorf("skip pattern %q", got)
	}
	if got := SkipPattern([]Entry{{Test: "TestA"}, {Test: "TestB/runs/31"}}); got != "^TestA$|^TestB$/^runs$/^31$" {
		t.Errorf("skip pattern of a subtest %q", got)
	}
	if got := ListPattern([]Entry{{Test: "TestA"}, {Test: "TestB/runs/31"}}); got != "^TestA$|^TestB$" {
		t.Errorf("list pattern of a subtest %q", got)
	}
	if got := SkipPattern(nil); got != "" {
		t.Errorf("skip pattern of an empty list: %q, want an empty one", got)
	}
}

func TestInvalidLinesAreReportedWithTheirNumber(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{"TestA|fell|issue 3", "line 2: 3 fields, want 4"},
		{"testA|go test|fell|issue 3", `line 2: "testA" is not the name of a test`},
		{"TestA/|go test|fell|issue 3", `line 2: "TestA/" is not the name of a test`},
		{"TestA/a.*|go test|fell|issue 3", `line 2: "TestA/a.*" is not the name of a test`},
		{"TestA|.*||go test", "line 2: the description of what was seen is missing"},
		{"TestA||fell|issue 3", "line 2: the command is missing"},
		{"TestA|go test|fell|later", `line 2: "later", want "issue N"`},
		{"TestA|go test|fell|issue 0", `line 2: "issue 0", want "issue N"`},
		{"TestA|go test|fell|issue 99999999999999999999", "too large"},
	} {
		_, err := Parse(strings.NewReader("\n" + c.line))
		if !errors.Is(err, ErrLine) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: error %v, want %q", c.line, err, c.want)
		}
	}
}

func TestCheckFindsMissingAndRepeatedTests(t *testing.T) {
	entries := []Entry{{1, "TestA", "x", "y", 1}, {2, "TestGone", "x", "y", 1}, {3, "TestA", "x", "y", 1}}
	err := Check(entries, []string{"TestA", "TestB"})
	if err := Check([]Entry{{1, "TestA/31", "x", "y", 1}}, []string{"TestA"}); err != nil {
		t.Errorf("a subtest: %v", err)
	}
	for _, want := range []string{"line 2: test TestGone does not exist", "line 3: TestA is already listed in line 1"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %q", err, want)
		}
	}
	if err := Check(entries[:1], []string{"TestA"}); err != nil {
		t.Error(err)
	}
}

func TestRerunCountsPassesAndFailures(t *testing.T) {
	const times = 3
	for _, c := range []struct {
		command        string
		passed, failed int
	}{{"true", times, 0}, {"exit 2", 0, times}} {
		passed, failed, err := Rerun(context.Background(), Entry{Command: c.command}, times, io.Discard)
		if err != nil || passed != c.passed || failed != c.failed {
			t.Errorf("%s: %d passed, %d failed, error %v", c.command, passed, failed, err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, _, err := Rerun(ctx, Entry{Command: "true"}, 3, io.Discard); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v after an interrupt, want context.Canceled", err)
	}
}
