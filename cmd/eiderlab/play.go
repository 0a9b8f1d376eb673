// This file owns the commands that play: run, sweep, hunt and replay.

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

// loading holds the flags of commands that read a scenario.
type loading struct{ set []string }

func (l *loading) flags(c *cobra.Command) {
	c.Flags().StringArrayVar(&l.set, "set", nil, "change a key of the scenario, KEY=VALUE; may be given again")
}

func (l *loading) load(path string) (*scenario.Scenario, error) {
	s, err := scenario.Load(path)
	for _, kv := range l.set {
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

// printTable shows a table on the terminal.
func printTable(t chart.Table) {
	w := table.NewWriter()
	w.SetOutputMirror(os.Stdout)
	w.SetStyle(table.StyleLight)
	w.Style().Format.Header = text.FormatDefault
	row := func(cells []string) table.Row {
		var r table.Row
		for _, c := range cells {
			r = append(r, c)
		}
		return r
	}
	var configs []table.ColumnConfig
	for i := range t.Head {
		if i > 0 {
			configs = append(configs, table.ColumnConfig{Number: i + 1, Align: text.AlignRight, AlignHeader: text.AlignRight})
		}
	}
	w.SetColumnConfigs(configs)
	w.AppendHeader(row(t.Head))
	for _, r := range t.Rows {
		w.AppendRow(row(r))
	}
	w.Render()
}

// bar shows progress on standard error, where that is a terminal; elsewhere it says nothing.
func bar(n int, what string) *progressbar.ProgressBar {
	return progressbar.NewOptions(n, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription(what),
		progressbar.OptionShowCount(), progressbar.OptionSetPredictTime(true), progressbar.OptionSetVisibility(isTerminal(os.Stderr)),
		progressbar.OptionClearOnFinish(), progressbar.OptionFullWidth(), progressbar.OptionThrottle(100*time.Millisecond))
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func newRun() *cobra.Command {
	var l loading
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
			s, err := l.load(args[0])
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
				began := time.Now()
				r, err := world.Run(s, world.Options{Seed: seed, Policy: p, Workers: workers, Stop: c.Context().Done()})
				if err != nil {
					return err
				}
				took := time.Since(began)
				fmt.Fprintf(os.Stderr, "%s: %.0f s of model time in %.2f s (%.0f times as fast), %d events, %.0f a second\n", p, r.ModelSeconds,
					took.Seconds(), r.ModelSeconds/took.Seconds(), r.Events, float64(r.Events)/took.Seconds())
				results = append(results, r)
			}
			printTable(experiment.RunTable(results))
			printTroubles(results)
			if out != "" {
				text, err := s.Encode()
				if err != nil {
					return err
				}
				if err := experiment.SaveRuns(out, text, results, bands(s)); err != nil {
					return err
				}
				fmt.Println("kept in", out, "- open", filepath.Join(out, "report.html"))
			}
			return verdict(c.Context(), results, strict)
		},
	}
	l.flags(c)
	c.Flags().StringSliceVar(&policies, "policy", []string{"rules"}, "policies to play, see 'eiderlab policies'")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the day")
	c.Flags().StringVar(&out, "out", "", "folder for results, tables and charts")
	c.Flags().IntVar(&workers, "workers", 0, "cores that step senders (default: all)")
	c.Flags().StringVar(&profile, "cpuprofile", "", "write a CPU profile of the run to this file, for 'go tool pprof'")
	c.Flags().BoolVar(&strict, "strict", false, "exit with 1 if a rule was broken")
	return c
}

// bands are the spans of troubles with a stated start.
func bands(s *scenario.Scenario) []chart.Band {
	var out []chart.Band
	for _, t := range s.Troubles {
		if t.Every == 0 {
			out = append(out, chart.Band{From: t.At.D().Seconds(), To: (t.At + t.For).D().Seconds()})
		}
	}
	return out
}

// printTroubles shows broken rules and faults.
func printTroubles(results []*tally.Result) {
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
		for _, b := range r.Violations[:min(3, len(r.Violations))] {
			fmt.Printf("  %v\n", b)
			for _, line := range b.Trail {
				fmt.Printf("      %s\n", line)
			}
		}
	}
}

func verdict(ctx context.Context, results []*tally.Result, strict bool) error {
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
	var l loading
	var vary, policies []string
	var seeds, jobs int
	var first uint64
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
			s, err := l.load(args[0])
			if err != nil {
				return err
			}
			if out == "" {
				return usageError{errors.New("sweep needs --out FOLDER to keep its rows in")}
			}
			plan := &experiment.Plan{Scenario: s, Policies: policies, Seeds: experiment.Seeds(first, seeds)}
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
	l.flags(c)
	c.Flags().StringArrayVar(&vary, "vary", nil, "KEY=VALUE,VALUE,...: a parameter and its values; may be given again")
	c.Flags().StringSliceVar(&policies, "policy", []string{"rules"}, "policies to play")
	c.Flags().IntVar(&seeds, "seeds", 3, "seeds for each combination")
	c.Flags().Uint64Var(&first, "first-seed", 1, "the first of them")
	c.Flags().StringVar(&out, "out", "", "folder for rows, tables and charts")
	c.Flags().BoolVar(&resume, "resume", false, "finish a sweep that was broken off")
	c.Flags().IntVar(&jobs, "jobs", runtime.GOMAXPROCS(0), "runs at once")
	return c
}

func sweep(ctx context.Context, plan *experiment.Plan, out string, resume bool, jobs int) error {
	f, err := experiment.Create(out, plan, resume)
	if err != nil {
		return err
	}
	all := len(plan.Points())
	progress := bar(all, plan.Scenario.Name)
	played := experiment.Play(ctx, f, jobs, func(n, _ int) { _ = progress.Set(n) })
	_ = progress.Finish()
	if err := f.Close(); err != nil {
		return err
	}
	if left := len(f.Missing()); left > 0 {
		return fmt.Errorf("%d of %d runs are kept in %s; the same command with --resume plays the rest: %w", all-left, all, out, played)
	}
	if played != nil {
		return played
	}
	if err := f.Report(); err != nil {
		return err
	}
	printTable(f.Summary())
	fmt.Println("kept in", out, "- open", filepath.Join(out, "report.html"))
	return nil
}

func newHunt() *cobra.Command {
	var l loading
	var days, keep, jobs int
	var first uint64
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
			s, err := l.load(args[0])
			if err != nil {
				return err
			}
			progress := bar(days, "days")
			found, err := experiment.Hunt(c.Context(), s, first, days, keep, jobs, func(n int) { _ = progress.Set(n) })
			_ = progress.Finish()
			if err != nil {
				return err
			}
			return showFound(found, out)
		},
	}
	l.flags(c)
	c.Flags().IntVar(&days, "days", 100, "days to draw")
	c.Flags().IntVar(&keep, "keep", 8, "days to show, one for each set of troubles")
	c.Flags().Uint64Var(&first, "first-seed", 1, "seed of the first day")
	c.Flags().IntVar(&jobs, "jobs", runtime.GOMAXPROCS(0), "days at once")
	c.Flags().StringVar(&out, "out", "found", "folder for the days found")
	return c
}

func showFound(found []experiment.Finding, out string) error {
	t := chart.Table{Head: []string{"day", "troubles", "G", "oracle", "why"}}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	for i, f := range found {
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
		t.Rows = append(t.Rows, []string{fmt.Sprintf("%d: %s", i+1, filepath.Join(out, name)), f.TroubleKinds(),
			fmt.Sprintf("%.3f", f.Module.G), fmt.Sprintf("%.3f", f.Oracle.G), f.Reason()})
	}
	if len(found) == 0 {
		fmt.Println("no day on which the module was worse than the oracle")
		return nil
	}
	printTable(t)
	return nil
}

func newReplay() *cobra.Command {
	var l loading
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
			s, err := l.load(args[0])
			if err != nil {
				return err
			}
			lines := 0
			trace := func(line string) {
				var at float64
				if _, err := fmt.Sscanf(strings.TrimSpace(line), "%fs", &at); err != nil {
					return
				}
				if d := time.Duration(at * float64(time.Second)); d < from || to > 0 && d > to {
					return
				}
				if message != "" && !strings.Contains(line, " "+message+":") && !strings.Contains(line, " "+message+".") {
					return
				}
				lines++
				fmt.Println(line)
			}
			r, err := world.Run(s, world.Options{Seed: seed, Policy: policy, Trace: trace, Workers: 1, Stop: c.Context().Done()})
			if err != nil {
				return err
			}
			fmt.Printf("%d lines; G %.3f, %d of %d served, rules broken %d times\n", lines, r.G, r.Served, r.Submitted, r.ViolationCount)
			printTroubles([]*tally.Result{r})
			return verdict(c.Context(), []*tally.Result{r}, false)
		},
	}
	l.flags(c)
	c.Flags().StringVar(&policy, "policy", "rules", "policy to play")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the day")
	c.Flags().StringVar(&message, "message", "", "only this message and its later tries, such as m120")
	c.Flags().DurationVar(&from, "from", 0, "only from this model time on")
	c.Flags().DurationVar(&to, "to", 0, "only up to this model time (default: the end)")
	return c
}
