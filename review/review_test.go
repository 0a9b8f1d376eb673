// Package review holds the cases of an independent review, each a script in a folder of its own. The tests here play
// them on demand: they are skipped unless the environment variable REVIEW is set.
package review

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
)

// deployBuild matches the build line of the deploy file.
var deployBuild = regexp.MustCompile(`(?m)^build = "([^"]*)"`)

// playCase builds the programs and the stand-ins, and fails the test if the script of a case shows a broken rule.
func playCase(t *testing.T, folder string) {
	t.Helper()
	if os.Getenv("REVIEW") == "" {
		t.Skip("set REVIEW=1 to play this case on processes of its own, for up to two minutes")
	}
	deploy, err := os.ReadFile(filepath.Join("..", "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	build := deployBuild.FindSubmatch(deploy)
	if build == nil {
		t.Fatal("deploy/balancer.toml has no build line")
	}
	for _, line := range []string{string(build[1]), "sh review/build.sh"} {
		cmd := exec.Command("/bin/sh", "-c", line)
		cmd.Dir = ".."
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%s: %v\n%s", line, err, out)
		}
	}
	out, err := exec.Command(filepath.Join(".", folder, "run.sh")).CombinedOutput()
	t.Logf("%s", out)
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit) && exit.ExitCode() == 1:
		t.Error("the rule was broken, see record.txt in the folder of the case")
	case err != nil:
		t.Fatalf("the case could not run: %v", err)
	}
}

func TestReviewPaymentRunsTwiceAfterCopiedRefusal(t *testing.T)     { playCase(t, "1") }
func TestReviewPaymentLostAfterCopiedAnswers(t *testing.T)          { playCase(t, "2") }
func TestReviewPaymentsOfBeforeRestartReturnedUntried(t *testing.T) { playCase(t, "3") }
