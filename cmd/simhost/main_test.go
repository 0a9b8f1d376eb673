package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// env holds the settings with which the tests start an instance.
const env = `{"allowed":{"connect_timeout_us":1000000,"keepalive_us":10000000,"max_attempts":4,"max_open":20,` +
	`"max_retry_after_us":3000000,"may_cancel":true,"probes":true,"retry_after":true,"second_copies":true},"az":0,` +
	`"balancers":2,"extra":{"batch_by_kind":[1],"late":"halving","routes_apart":[false],"slots":4,"toll":[0]},` +
	`"flavors":["any"],"registry_mode":"push","request_classes":[{"deadline_us":2000000,"effect":"idempotent",` +
	`"goal_time_us":500000,"late_worth":0.4,"worth":1},{"deadline_us":2000000,"effect":"at_most_once",` +
	`"goal_time_us":500000,"late_worth":0.4,"worth":1}],"safety":{"cold_share":0.2,"drain_grace_us":500000,` +
	`"fall_us":2000000,"grace_to_answer_us":20000,"overload_factor":2,"warm_up_us":9000000},"tick_us":5000,` +
	`"weights":"rough","some_new_key":[1,2]}`

// start is a batch in which two instances start with the same list of one endpoint.
const start = `{"verb":"batch","moment_us":1000000}
{"verb":"power_on","sender_id":0,"nonce64":1,"env":` + env + `}
{"verb":"catalog","ref":3,"elements":[{"campus":0,"endpoint":77,"capacity_hint":2,"flavor":0,"destination":5,"readiness":"healthy"}]}
{"verb":"directory_update","sender_id":0,"kind":"disk","ref":3,"rev":1}
{"verb":"power_on","sender_id":1,"nonce64":2,"env":` + env + `}
{"verb":"directory_update","sender_id":1,"kind":"disk","ref":3,"rev":1}
{"verb":"flush"}
`

// buildHost builds simhost with the build command of deploy/balancer.toml and returns the path of the program.
func buildHost(t *testing.T) string {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	deployFile, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(deployFile), `build = "`)
	buildCommand, _, terminated := strings.Cut(rest, "\"\n")
	if !found || !terminated || !strings.Contains(buildCommand, "bin/") {
		t.Fatalf("no build command in deploy/balancer.toml: %q", buildCommand)
	}
	dir := t.TempDir()
	cmd := exec.Command("/bin/sh", "-c", strings.ReplaceAll(buildCommand, "bin/", dir+"/"))
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return filepath.Join(dir, "simhost")
}

// replyLine holds the fields of one line of a reply.
type replyLine map[string]any

// runHost runs the built simhost with this input. It returns the lines of its replies by batch, its standard error and
// the error of its exit.
func runHost(t *testing.T, host, input string) (replies [][]replyLine, stderr string, err error) {
	t.Helper()
	cmd := exec.Command(host)
	cmd.Stdin = strings.NewReader(input)
	var stdout, errOutput bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &errOutput
	err = cmd.Run()
	var reply []replyLine
	for _, text := range strings.Split(strings.TrimSpace(stdout.String()), "\n") {
		if text == "" {
			continue
		}
		var line replyLine
		if e := json.Unmarshal([]byte(text), &line); e != nil {
			t.Fatalf("reply line %q: %v", text, e)
		}
		if line["verb"] == "yield" {
			replies = append(replies, reply)
			reply = nil
			continue
		}
		reply = append(reply, line)
	}
	return replies, errOutput.String(), err
}

// withVerb returns the lines of a reply that have this verb.
func withVerb(reply []replyLine, verb string) []replyLine {
	var lines []replyLine
	for _, line := range reply {
		if line["verb"] == verb {
			lines = append(lines, line)
		}
	}
	return lines
}

// TestTranscript runs the built program through an empty batch, sends, answers, a kill with a restart, repeated events,
// and an unknown field.
func TestTranscript(t *testing.T) {
	host := buildHost(t)
	input := `{"verb":"batch","moment_us":1000000}
{"verb":"flush"}
` + start + `{"verb":"batch","moment_us":1100000}
{"verb":"new_request","sender_id":1,"txn":"r-1","dest":5,"service":0,"grace_us":2000000,"some_new_field":1}
{"verb":"new_request","sender_id":0,"txn":"r-2","dest":5,"service":1,"grace_us":2000000}
{"verb":"new_request","sender_id":0,"txn":"r-3","dest":6,"service":1,"grace_us":50000}
{"verb":"flush"}
{"verb":"batch","moment_us":1200000}
{"verb":"answer","sender_id":1,"txn":"r-1","round_no":0,"endpoint":77,"ending":"Ok","time_taken_us":90000,"closed":true}
{"verb":"answer","sender_id":0,"txn":"r-2","round_no":0,"endpoint":77,"ending":"ResetByPeer","time_taken_us":90000}
{"verb":"wakeup","sender_id":0,"key_back":0}
{"verb":"inbox","sender_id":0,"sender":1,"bytes":"x"}
{"verb":"flush"}
{"verb":"batch","moment_us":1300000}
{"verb":"answer","sender_id":1,"txn":"r-1","round_no":0,"endpoint":77,"ending":"Ok","time_taken_us":90000,"closed":true}
{"verb":"vanished","sender_id":1,"txn":"r-1"}
{"verb":"crash_now","sender_id":0}
{"verb":"power_on","sender_id":0,"nonce64":3,"env":` + env + `}
{"verb":"directory_update","sender_id":0,"kind":"disk","ref":3,"rev":1}
{"verb":"new_request","sender_id":0,"txn":"r-4","dest":5,"service":0,"grace_us":2000000}
{"verb":"flush"}
`
	replies, stderr, err := runHost(t, host, input)
	if want := "simhost: fields skipped, by verb: map[new_request.some_new_field:1]\n"; err != nil || stderr != want {
		t.Fatalf("exit error %v, standard error %q, want %q", err, stderr, want)
	}
	if len(replies) != 5 || len(replies[0])+len(replies[1]) != 0 {
		t.Fatalf("%d replies, want 5, the first two empty: %v", len(replies), replies)
	}
	tries := withVerb(replies[2], "try")
	if len(tries) != 2 || tries[0]["txn"] != "r-1" || tries[0]["sender_id"] != 1.0 || tries[0]["endpoint"] != 77.0 ||
		tries[1]["txn"] != "r-2" {
		t.Errorf("first tries: %v", tries)
	}
	if got := withVerb(replies[2], "wake_at"); len(got) == 0 {
		t.Error("no wake-up requested although messages are held")
	}
	if got := withVerb(replies[3], "finish_error"); len(got) != 1 || got[0]["txn"] != "r-2" {
		t.Errorf("an at-most-once message whose call was reset should be failed once: %v", replies[3])
	}
	if got := withVerb(replies[3], "deny"); len(got) != 1 || got[0]["txn"] != "r-3" {
		t.Errorf("an unsent message past its deadline should be refused: %v", replies[3])
	}
	if got := withVerb(replies[4], "try"); len(replies[4]) == 0 || len(got) != 1 || got[0]["txn"] != "r-4" {
		t.Errorf("the restarted instance should send its own message only: %v", replies[4])
	}
}

// TestInvalidInputEndsTheProgram checks that invalid input is reported in one line and ends the program with an error.
func TestInvalidInputEndsTheProgram(t *testing.T) {
	host := buildHost(t)
	batch := start + `{"verb":"batch","moment_us":1100000}` + "\n"
	for name, c := range map[string]struct{ input, want string }{
		"not JSON":        {"nonsense\n", "line 1: not a JSON object"},
		"no verb":         {"{}\n", "line 1: no verb"},
		"outside a batch": {`{"verb":"wakeup","sender_id":0,"key_back":1}` + "\n", `line 1: "wakeup" outside a batch`},
		"unknown verb":    {batch + `{"verb":"sing","sender_id":0}` + "\n", `line 9: unknown verb "sing"`},
		"missing field":   {batch + `{"verb":"new_request","sender_id":0,"txn":"a","dest":5,"service":0}` + "\n", "line 9: new_request: no grace_us"},
		"mistyped field":  {batch + `{"verb":"vanished","sender_id":0,"txn":7}` + "\n", "line 9: vanished: "},
		"no sender":       {batch + `{"verb":"vanished","txn":"a"}` + "\n", "line 9: vanished: no sender_id"},
		"unknown ending": {batch + `{"verb":"answer","sender_id":0,"txn":"a","round_no":0,"endpoint":77,"ending":"Odd","time_taken_us":1}` + "\n",
			`line 9: answer: unknown ending "Odd"`},
		"unknown list":       {batch + `{"verb":"directory_update","sender_id":0,"kind":"diff","ref":9,"rev":2}` + "\n", "line 9: directory_update: unknown list number 9"},
		"never started":      {batch + `{"verb":"wakeup","sender_id":4,"key_back":1}` + "\n" + `{"verb":"flush"}` + "\n", "line 9: event for instance 4"},
		"ends inside":        {batch, "input ends inside a batch"},
		"bad effect":         {strings.ReplaceAll(start, "idempotent", "sometimes"), `line 2: power_on: env: class 0: unknown effect "sometimes"`},
		"bad list readiness": {strings.ReplaceAll(start, "healthy", "fine"), `line 3: catalog: element 0: unknown readiness "fine"`},
	} {
		_, stderr, err := runHost(t, host, c.input)
		if _, failed := err.(*exec.ExitError); !failed {
			t.Errorf("%s: exit error %v, want a non-zero exit code", name, err)
		}
		if !strings.Contains(stderr, c.want) || strings.Count(stderr, "\n") != 1 {
			t.Errorf("%s: standard error %q, want one line with %q", name, stderr, c.want)
		}
	}
}

// TestPanicIsReportedAsDie checks that a panic in the module is reported for its instance and leaves others running.
func TestPanicIsReportedAsDie(t *testing.T) {
	host := buildHost(t)
	input := start + `{"verb":"batch","moment_us":1100000}
{"verb":"new_request","sender_id":0,"txn":"a","dest":5,"service":99,"grace_us":2000000}
{"verb":"new_request","sender_id":1,"txn":"b","dest":5,"service":0,"grace_us":2000000}
{"verb":"flush"}
`
	replies, _, err := runHost(t, host, input)
	if err != nil || len(replies) != 2 {
		t.Fatalf("exit error %v after %d replies, want 2", err, len(replies))
	}
	die := withVerb(replies[1], "die")
	if len(die) != 1 || die[0]["sender_id"] != 0.0 || !strings.Contains(die[0]["note_text"].(string), "out of range") {
		t.Errorf("got %v, want one line \"die\" with the panic's text", replies[1])
	}
	if got := withVerb(replies[1], "try"); len(got) != 1 || got[0]["txn"] != "b" {
		t.Errorf("the other instance should continue: %v", replies[1])
	}
}
