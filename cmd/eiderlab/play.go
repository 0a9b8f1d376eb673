// This file owns the commands that play scenarios in virtual time: run, sweep, hunt and replay. Results go to standard
// output and to folders; progress and timings must go to standard error only.

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/pprof"
	"slices"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"eiderhaven/lab/chart"
	"eiderhaven/lab/experiment"
	"eiderhaven/lab/margin"
	"eiderhaven/lab/scenario"
	"eiderhaven/lab/tally"
	"eiderhaven/lab/world"
)

// maxPrintedViolations is the largest number of violations printed for a run; the result in --out holds more of them.
const maxPrintedViolations = 3

// scenarioFlags holds the flags shared by all commands that read a scenario.
type scenarioFlags struct{ set []string }

// register adds the flags to a command.
func (f *scenarioFlags) register(c *cobra.Command) {
	c.Flags().StringArrayVar(&f.set, "set", nil, "change a key of the scenario, KEY=VALUE; may be given again")
}

// load reads a scenario file and applies the changes given by --set.
func (f *scenarioFlags) load(path string) (*scenario.Scenario, error) {
	s, err := scenario.Load(path)
	for _, kv := range f.set {
		if err != nil {
			break
		}
		key, value, ok := strings.Cut(kv, "=")
		if !ok {
			return nil, usageError{fmt.Errorf("--set %q: expected KEY=VALUE, such as senders.count=10", kv)}
		}
		s, err = s.Set(key, value)
	}
	return s, err
}

// printTable prints a table to standard output.
func printTable(t chart.Table) {
	w := table.NewWriter()
	w.SetOutputMirror(os.Stdout)
	w.SetStyle(table.StyleLight)
	w.Style().Format.Header = text.FormatDefault
	newRow := func(cells []string) table.Row {
		var r table.Row
		for _, c := range cells {
			r = append(r, c)
		}
		return r
	}
	var configs []table.ColumnConfig
	for i := range t.Head {
		if i > 0 {
			configs = append(configs, table.ColumnConfig{
				Number: i + 1, Align: text.AlignRight, AlignHeader: text.AlignRight,
			})
		}
	}
	w.SetColumnConfigs(configs)
	w.AppendHeader(newRow(t.Head))
	for _, r := range t.Rows {
		w.AppendRow(newRow(r))
	}
	w.Render()
}

// newProgressBar returns a progress bar on standard error. It stays invisible if that is not a terminal.
func newProgressBar(total int, description string) *progressbar.ProgressBar {
	return progressbar.NewOptions(total,
		progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionSetDescription(description),
		progressbar.OptionShowCount(),
		progressbar.OptionSetPredictTime(true),
		progressbar.OptionSetVisibility(isTerminal(os.Stderr)),
		progressbar.OptionClearOnFinish(),
		progressbar.OptionFullWidth(),
		progressbar.OptionThrottle(100*time.Millisecond),
	)
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func newRun() *cobra.Command {
	var flags scenarioFlags
	var policies []string
	var seed uint64
	var out string
	var workers int
	var strict bool
	var profile string
	c := &cobra.Command{
		Use:   "run SCENARIO",
		Short: "Play one day and show what came of it",
		Example: `  eiderlab run lab/scenarios/calm.toml
  eiderlab run lab/scenarios/mixed.toml --seed 7 --policy rules,once,oracle --out results/mixed
  eiderlab run lab/scenarios/fleet.toml --set senders.count=300 --set run.length=10m`,
		Args: exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := flags.load(args[0])
			if err != nil {
				return err
			}
			if profile != "" {
				f, err := os.Create(profile)
				if err != nil {
					return err
				}
				defer f.Close()
				if err := pprof.StartCPUProfile(f); err != nil {
					return err
				}
				defer pprof.StopCPUProfile()
			}
			var results []*tally.Result
			for _, p := range policies {
				started := time.Now()
				r, err := world.Run(s, world.Options{Seed: seed, Policy: p, Workers: workers, Stop: c.Context().Done()})
				if err != nil {
					return err
				}
				elapsed := time.Since(started)
				fmt.Fprintf(os.Stderr, "%s: %.0f s of model time in %.2f s (%.0f times as fast), %d events, %.0f a second\n",
					p, r.ModelSeconds, elapsed.Seconds(), r.ModelSeconds/elapsed.Seconds(),
					r.Events, float64(r.Events)/elapsed.Seconds())
				results = append(results, r)
			}
			printTable(experiment.RunTable(results))
			printProblems(results)
			if out != "" {
				text, err := s.Encode()
				if err != nil {
					return err
				}
				if err := experiment.SaveRuns(out, text, results, troubleBands(s)); err != nil {
					return err
				}
				fmt.Println("kept in", out, "- open", filepath.Join(out, "report.html"))
			}
			return runError(c.Context(), results, strict)
		},
	}
	flags.register(c)
	c.Flags().StringSliceVar(&policies, "policy", []string{"rules"}, "policies to play, see 'eiderlab policies'")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the day")
	c.Flags().StringVar(&out, "out", "", "folder for results, tables and charts")
	c.Flags().IntVar(&workers, "workers", 0, "cores that step senders (default: all)")
	c.Flags().StringVar(&profile, "cpuprofile", "", "write a CPU profile of the run to this file, for 'go tool pprof'")
	c.Flags().BoolVar(&strict, "strict", false, "exit with 1 if a rule was broken")
	return c
}

// troubleBands returns the time spans of the scenario's troubles, except those that recur at random times.
func troubleBands(s *scenario.Scenario) []chart.Band {
	var out []chart.Band
	for _, t := range s.Troubles {
		if t.Every == 0 {
			out = append(out, chart.Band{From: t.At.D().Seconds(), To: (t.At + t.For).D().Seconds()})
		}
	}
	return out
}

// printProblems prints, for each run, why it stopped early, its margins, invalid actions and broken rules.
func printProblems(results []*tally.Result) {
	for _, r := range results {
		if r.Stopped != "" {
			fmt.Printf("%s: %s\n", r.Policy, r.Stopped)
		}
		if len(r.Margins) > 0 {
			fmt.Printf("%s: %v\n", r.Policy, margin.Summarize(slices.Clone(r.Margins)))
		}
		for name, n := range r.InvalidActions {
			fmt.Printf("%s: %d times: %s\n", r.Policy, n, name)
		}
		if r.ViolationCount == 0 {
			continue
		}
		fmt.Printf("%s broke rules %d times: %v\n", r.Policy, r.ViolationCount, r.ByRule)
		for _, violation := range r.Violations[:min(maxPrintedViolations, len(r.Violations))] {
			fmt.Printf("  %v\n", violation)
			for _, line := range violation.Trail {
				fmt.Printf("      %s\n", line)
			}
		}
	}
}

// runError returns the error that a command reports after its runs: it was interrupted, a run stopped early, or, with
// strict, a run broke a rule.
func runError(ctx context.Context, results []*tally.Result, strict bool) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	for _, r := range results {
		if r.Stopped != "" {
			return errors.New(r.Stopped)
		}
		if strict && r.ViolationCount > 0 {
			return fmt.Errorf("%s broke rules %d times", r.Policy, r.ViolationCount)
		}
	}
	return nil
}

func newSweep() *cobra.Command {
	var flags scenarioFlags
	var vary, policies []string
	var seeds, jobs int
	var firstSeed uint64
	var out string
	var resume bool
	c := &cobra.Command{
		Use:   "sweep SCENARIO --out FOLDER",
		Short: "Play a grid of parameters, policies and seeds over all cores",
		Long: `sweep plays every combination of the values given by --vary with every policy and seed, and keeps one row a
run. Ctrl-C keeps the rows of finished runs; the same command with --resume plays the rest, and what is
kept in the end is the same, byte for byte, as without the break.`,
		Example: `  eiderlab sweep lab/scenarios/fleet.toml --vary senders.count=1,3,10,30,100,300 --seeds 5 --out results/fleet
  eiderlab sweep lab/scenarios/outage.toml --vary trouble.crash.for=5s,20s,60s --vary trouble.crash.part=0.2,0.8 \
      --policy rules,backoff,oracle --out results/outage`,
		Args: exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := flags.load(args[0])
			if err != nil {
				return err
			}
			if out == "" {
				return usageError{errors.New("sweep needs --out FOLDER to keep its rows in")}
			}
			plan := &experiment.Plan{Scenario: s, Policies: policies, Seeds: experiment.Seeds(firstSeed, seeds)}
			for _, v := range vary {
				axis, err := experiment.ParseAxis(v)
				if err != nil {
					return usageError{err}
				}
				plan.Axes = append(plan.Axes, axis)
			}
			if err := plan.Validate(); err != nil {
				return err
			}
			return sweep(c.Context(), plan, out, resume, jobs)
		},
	}
	flags.register(c)
	c.Flags().StringArrayVar(&vary, "vary", nil, "KEY=VALUE,VALUE,...: a parameter and its values; may be given again")
	c.Flags().StringSliceVar(&policies, "policy", []string{"rules"}, "policies to play")
	c.Flags().IntVar(&seeds, "seeds", 3, "seeds for each combination")
	c.Flags().Uint64Var(&firstSeed, "first-seed", 1, "the first of them")
	c.Flags().StringVar(&out, "out", "", "folder for rows, tables and charts")
	c.Flags().BoolVar(&resume, "resume", false, "finish a sweep that was broken off")
	c.Flags().IntVar(&jobs, "jobs", runtime.GOMAXPROCS(0), "runs at once")
	return c
}

// sweep plays the plan's missing runs into the folder out and, if that finishes all of them, writes and prints the
// report.
func sweep(ctx context.Context, plan *experiment.Plan, out string, resume bool, jobs int) error {
	folder, err := experiment.Create(out, plan, resume)
	if err != nil {
		return err
	}
	total := len(plan.Points())
	progress := newProgressBar(total, plan.Scenario.Name)
	playErr := experiment.Play(ctx, folder, jobs, func(n, _ int) { _ = progress.Set(n) })
	_ = progress.Finish()
	if err := folder.Close(); err != nil {
		return err
	}
	if missing := len(folder.Missing()); missing > 0 {
		return fmt.Errorf("%d of %d runs are kept in %s; the same command with --resume plays the rest: %w",
			total-missing, total, out, playErr)
	}
	if playErr != nil {
		return playErr
	}
	if err := folder.Report(); err != nil {
		return err
	}
	printTable(folder.Summary())
	fmt.Println("kept in", out, "- open", filepath.Join(out, "report.html"))
	return nil
}

func newHunt() *cobra.Command {
	var flags scenarioFlags
	var days, keep, jobs int
	var firstSeed uint64
	var out string
	c := &cobra.Command{
		Use:   "hunt SCENARIO",
		Short: "Look for the days on which the module does worst",
		Long: `hunt draws troubles that overlap, plays each day with the module and with the oracle, and shows the days on which
the module breaks a rule or falls farthest behind, cut down to the troubles that matter. Each is written as a
scenario file, to be played again with 'eiderlab replay'.`,
		Example: "  eiderlab hunt lab/scenarios/mixed.toml --days 200 --out found",
		Args:    exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := flags.load(args[0])
			if err != nil {
				return err
			}
			progress := newProgressBar(days, "days")
			showDays := func(n int) { _ = progress.Set(n) }
			findings, err := experiment.Hunt(c.Context(), s, firstSeed, days, keep, jobs, showDays)
			_ = progress.Finish()
			if err != nil {
				return err
			}
			return writeFindings(findings, out)
		},
	}
	flags.register(c)
	c.Flags().IntVar(&days, "days", 100, "days to draw")
	c.Flags().IntVar(&keep, "keep", 8, "days to show, one for each set of troubles")
	c.Flags().Uint64Var(&firstSeed, "first-seed", 1, "seed of the first day")
	c.Flags().IntVar(&jobs, "jobs", runtime.GOMAXPROCS(0), "days at once")
	c.Flags().StringVar(&out, "out", "found", "folder for the days found")
	return c
}

// writeFindings writes each day that a hunt found as a scenario file and prints a table of them.
func writeFindings(findings []experiment.Finding, out string) error {
	t := chart.Table{Head: []string{"day", "troubles", "G", "oracle", "why"}}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	for i, f := range findings {
		name := fmt.Sprintf("%s-%d.toml", f.Scenario.Name, f.Seed)
		s := *f.Scenario
		s.About = fmt.Sprintf("found by a hunt, play it with --seed %d: %s", f.Seed, f.Reason())
		text, err := s.Encode()
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(out, name), text, 0o644); err != nil {
			return err
		}
		t.Rows = append(t.Rows, []string{
			fmt.Sprintf("%d: %s", i+1, filepath.Join(out, name)),
			f.TroubleKinds(),
			fmt.Sprintf("%.3f", f.Module.G),
			fmt.Sprintf("%.3f", f.Oracle.G),
			f.Reason(),
		})
	}
	if len(findings) == 0 {
		fmt.Println("no day on which the module was worse than the oracle")
		return nil
	}
	printTable(t)
	return nil
}

func newReplay() *cobra.Command {
	var flags scenarioFlags
	var policy, message string
	var seed uint64
	var from, to time.Duration
	c := &cobra.Command{
		Use:   "replay SCENARIO",
		Short: "Play one seed as a timeline to read",
		Example: `  eiderlab replay found/mixed-17.toml --seed 17 --from 30s --to 32s
  eiderlab replay lab/scenarios/calm.toml --message m120`,
		Args: exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := flags.load(args[0])
			if err != nil {
				return err
			}
			printed := 0

			// trace prints those lines of the timeline that concern the chosen message and span of time. Lines that
			// don't start with a time are left out.
			trace := func(line string) {
				var at float64
				if _, err := fmt.Sscanf(strings.TrimSpace(line), "%fs", &at); err != nil {
					return
				}
				if d := time.Duration(at * float64(time.Second)); d < from || to > 0 && d > to {
					return
				}
				if message != "" &&
					!strings.Contains(line, " "+message+":") && !strings.Contains(line, " "+message+".") {
					return
				}
				printed++
				fmt.Println(line)
			}
			r, err := world.Run(s, world.Options{
				Seed: seed, Policy: policy, Trace: trace, Workers: 1, Stop: c.Context().Done(),
			})
			if err != nil {
				return err
			}
			fmt.Printf("%d lines; G %.3f, %d of %d served, rules broken %d times\n",
				printed, r.G, r.Served, r.Submitted, r.ViolationCount)
			printProblems([]*tally.Result{r})
			return runError(c.Context(), []*tally.Result{r}, false)
		},
	}
	flags.register(c)
	c.Flags().StringVar(&policy, "policy", "rules", "policy to play")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the day")
	c.Flags().StringVar(&message, "message", "", "only this message and its later tries, such as m120")
	c.Flags().DurationVar(&from, "from", 0, "only from this model time on")
	c.Flags().DurationVar(&to, "to", 0, "only up to this model time (default: the end)")
	return c
}
