package review

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// playSecondCase builds the programs and the stand-ins of the second review, and fails the test if the script of a case
// shows a broken rule. It is skipped unless the environment variable REVIEW2 is set.
func playSecondCase(t *testing.T, folder string) {
	t.Helper()
	if os.Getenv("REVIEW2") == "" {
		t.Skip("set REVIEW2=1 to play this case on processes of its own, for up to two minutes")
	}
	deploy, err := os.ReadFile(filepath.Join("..", "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	build := deployBuild.FindSubmatch(deploy)
	if build == nil {
		t.Fatal("deploy/balancer.toml has no build line")
	}
	for _, line := range []string{string(build[1]), "sh review/build-2.sh"} {
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

func TestReviewMessagesInTooLongCallsAreNeverDelivered(t *testing.T) { playSecondCase(t, "6") }
func TestReviewMessageLostBehindACopiedAnswer(t *testing.T)          { playSecondCase(t, "7") }
func TestReviewSmallDestinationsFallAfterAHang(t *testing.T)         { playSecondCase(t, "8") }
func TestReviewUnfinishedRequestsExceedTheMemory(t *testing.T)       { playSecondCase(t, "9") }
func TestReviewListInChunksIsNeverRead(t *testing.T)                 { playSecondCase(t, "10") }
