package knownred

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
)

func TestAListIsRead(t *testing.T) {
	entries, err := Parse(strings.NewReader("TestA|go test -run '^TestA$' ./a|seed 3 fell on 1 of 4|issue 50\n\nTestB | go test ./b | fell | issue 7\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := []Entry{{1, "TestA", "go test -run '^TestA$' ./a", "seed 3 fell on 1 of 4", 50}, {3, "TestB", "go test ./b", "fell", 7}}
	if len(entries) != 2 || entries[0] != want[0] || entries[1] != want[1] {
		t.Errorf("%+v, want %+v", entries, want)
	}
	if got := SkipPattern(entries); got != "^TestA$|^TestB$" {
		t.Errorf("pattern %q", got)
	}
	if got := SkipPattern(nil); got != "" {
		t.Errorf("pattern of an empty list: %q", got)
	}
}

func TestAMalformedLineIsToldByItsNumber(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{"TestA|fell|issue 3", "line 2: 3 fields"},
		{"testA|go test|fell|issue 3", `line 2: "testA" is no test's name`},
		{"TestA|.*||go test", "line 2: nothing says what was seen"},
		{"TestA||fell|issue 3", "line 2: no command"},
		{"TestA|go test|fell|later", `line 2: "later": issue N is expected`},
		{"TestA|go test|fell|issue 0", `line 2: "issue 0": issue N is expected`},
		{"TestA|go test|fell|issue 99999999999999999999", "too large"},
	} {
		_, err := Parse(strings.NewReader("\n" + c.line))
		if !errors.Is(err, ErrLine) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.line, err, c.want)
		}
	}
}

func TestAnEntryNamesATestOnce(t *testing.T) {
	entries := []Entry{{1, "TestA", "x", "y", 1}, {2, "TestGone", "x", "y", 1}, {3, "TestA", "x", "y", 1}}
	err := Check(entries, []string{"TestA", "TestB"})
	for _, want := range []string{"line 2: no test is named TestGone", "line 3: TestA stands in line 1 too"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	if err := Check(entries[:1], []string{"TestA"}); err != nil {
		t.Error(err)
	}
}

func TestPlaysAreCounted(t *testing.T) {
	for _, c := range []struct {
		command      string
		passed, fell int
	}{{"true", 3, 0}, {"exit 2", 0, 3}} {
		passed, fell, err := Rerun(context.Background(), Entry{Command: c.command}, 3, io.Discard)
		if err != nil || passed != c.passed || fell != c.fell {
			t.Errorf("%s: %d passed, %d fell, %v", c.command, passed, fell, err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, _, err := Rerun(ctx, Entry{Command: "true"}, 3, io.Discard); !errors.Is(err, context.Canceled) {
		t.Errorf("interrupted: %v", err)
	}
}
