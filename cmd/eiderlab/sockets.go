// This file owns the commands that play parts of a scenario on sockets in real time: receivers and load. They must use
// loopback addresses only.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"eiderhaven/lab/chart"
	"eiderhaven/lab/live"
	"eiderhaven/lab/scenario"
)

// maxLoadLatenessMs limits the 99th percentile of how late requests are begun. Above it the load generator could not
// keep its schedule, and its own delay distorts the measured times.
const maxLoadLatenessMs = 5

func newReceivers() *cobra.Command {
	var flags scenarioFlags
	var discovery, listen, config, out string
	var seed uint64
	var duration time.Duration
	c := &cobra.Command{
		Use:   "receivers SCENARIO",
		Short: "Play discovery and receivers on sockets, for a running daemon",
		Long: `receivers listens on loopback addresses: discovery, and a port for each endpoint of the scenario. They serve, refuse,
hang, drain and come back as the model's receivers do, and the scenario's troubles happen in real time, but for
those of clients (see load) and of senders. With --config it writes a configuration with which the daemon runs
against them. It ends at --for, or with Ctrl-C, and shows what it saw.`,
		Example: `  eiderlab receivers lab/scenarios/calm.toml --config /tmp/eiderhaven.json
  mkdir -p /tmp/eiderhaven-state
  LB_CONFIG=/tmp/eiderhaven.json LB_STATE=/tmp/eiderhaven-state bin/eiderhaven
  eiderlab load lab/scenarios/calm.toml --target 127.0.0.1:9000`,
		Args: exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := flags.load(args[0])
			if err != nil {
				return err
			}
			receivers, err := live.NewReceivers(s, seed, discovery, func(line string) { fmt.Println(line) })
			if err != nil {
				return err
			}
			fmt.Printf("discovery on %s, %d endpoints of %d destinations\n",
				receivers.DiscoveryAddr(), receivers.ListenerCount(), s.DestinationCount())
			if skipped := live.SkippedTroubles(s); len(skipped) > 0 {
				fmt.Println("not played here:", strings.Join(skipped, ", "))
			}
			if config != "" {
				text, err := live.Config(s, "n1", listen, receivers.DiscoveryAddr())
				if err != nil {
					return err
				}
				if err := os.WriteFile(config, append(text, '\n'), 0o600); err != nil {
					return err
				}
				fmt.Printf("a configuration for the daemon is in %s; it will listen on %s\n", config, listen)
			}
			ctx := c.Context()
			if duration > 0 {
				var stop context.CancelFunc
				ctx, stop = context.WithTimeout(ctx, duration)
				defer stop()
			}
			receivers.Run(ctx)
			return printCounts(receivers.Counts(), out)
		},
	}
	flags.register(c)
	c.Flags().StringVar(&discovery, "discovery", "127.0.0.1:8500", "where discovery listens")
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:9000", "with --config: where the daemon is to listen")
	c.Flags().StringVar(&config, "config", "", "write a configuration for the daemon to this file")
	c.Flags().StringVar(&out, "out", "", "write what was seen to this file, as JSON")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the day")
	c.Flags().DurationVar(&duration, "for", 0, "end after this time (default: at Ctrl-C)")
	return c
}

// printCounts prints what the receivers saw and writes it to the file out, unless that is empty.
func printCounts(counts live.Counts, out string) error {
	t := chart.Table{Head: []string{"receivers saw", ""}}
	addRow := func(name string, x int) { t.Rows = append(t.Rows, []string{name, strconv.Itoa(x)}) }
	addRow("connections", counts.Connections)
	addRow("of them refused", counts.ConnectionsRefused)
	addRow("calls", counts.Calls)
	for _, name := range []string{"served", "turned away", "failed", "reset", "served, answer lost", "given up"} {
		addRow("calls "+name, counts.Outcomes[name])
	}
	addRow("messages that took effect", counts.Messages)
	addRow("repeats of such", counts.Repeats)
	addRow("effects doubled that must not be", counts.DuplicateEffects)
	addRow("notices: dead", counts.Dead)
	addRow("notices: bounced", counts.Bounced)
	addRow("units fallen over", counts.UnitsOverloaded)
	printTable(t)
	return writeJSON(out, counts)
}

// writeJSON writes a value as JSON to the file at path, unless that is empty.
func writeJSON(path string, v any) error {
	if path == "" {
		return nil
	}
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

func newLoad() *cobra.Command {
	var flags scenarioFlags
	var o live.LoadOptions
	var out string
	c := &cobra.Command{
		Use:   "load SCENARIO",
		Short: "Hand messages in to a running daemon by an open-loop schedule",
		Long: `load plays the clients of a scenario against daemons on loopback addresses. Requests are begun when they are planned,
however late earlier answers are, and times count from the plan. Clients come again after a refusal as the
scenario says. Troubles of clients (surge, hot, clump) are played.`,
		Example: `  eiderlab load lab/scenarios/calm.toml --target 127.0.0.1:9000
  eiderlab load lab/scenarios/calm.toml --target 127.0.0.1:9000 --set traffic.rate=2000 --set run.length=20s --out results/load`,
		Args: exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := flags.load(args[0])
			if err != nil {
				return err
			}
			o.Log = func(line string) { fmt.Println(line) }
			load, err := live.NewLoad(s, o)
			if err != nil {
				return usageError{err}
			}
			ctx, stop := context.WithCancel(c.Context())
			defer stop()
			go showProgress(ctx, s)
			r := load.Run(c.Context())
			stop()
			return reportLoad(s, r, out)
		},
	}
	flags.register(c)
	c.Flags().StringSliceVar(&o.Targets, "target", []string{"127.0.0.1:9000"}, "addresses of senders, on loopback")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the day")
	c.Flags().IntVar(&o.BodyBytes, "body", 200, "bytes of a message")
	c.Flags().IntVar(&o.MaxConns, "conns", 256, "connections to one target at most")
	c.Flags().DurationVar(&o.AnswerTimeout, "answer-within", 400*time.Millisecond,
		"how long a client waits for its answer")
	c.Flags().StringVar(&out, "out", "", "folder for figures and charts")
	return c
}

// showProgress advances a progress bar once a second until the scenario's length has passed or ctx ends.
func showProgress(ctx context.Context, s *scenario.Scenario) {
	length := int(s.Run.Length.D().Seconds())
	progress := newProgressBar(max(length, 1), "load, s")
	defer progress.Finish()
	for i := range length {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
			_ = progress.Set(i + 1)
		}
	}
}

// reportLoad prints the figures of a load run and writes them with charts and a page to the folder out, unless that is
// empty.
func reportLoad(s *scenario.Scenario, r *live.LoadResult, out string) error {
	t := chart.Table{Title: "Load", Head: []string{"load", ""}}
	addRow := func(name, format string, x any) { t.Rows = append(t.Rows, []string{name, fmt.Sprintf(format, x)}) }
	addRow("first tries", "%d", r.FirstTries)
	addRow("later tries", "%d", r.LaterTries)
	addRow("taken (202)", "%d", r.Accepted)
	addRow("taken a second", "%.0f", float64(r.Accepted)/max(r.Seconds, 1e-9))
	addRow("refused (429, 503)", "%d", r.Refused)
	addRow("other answers", "%d", r.Failed)
	addRow("no answer in time", "%d", r.NoAnswer)
	addRow("connections opened", "%d", r.ConnectionsOpened)
	addRow("p50, ms", "%.2f", r.P50)
	addRow("p90, ms", "%.2f", r.P90)
	addRow("p99, ms", "%.2f", r.P99)
	addRow("p99.9, ms", "%.2f", r.P999)
	addRow("longest, ms", "%.2f", r.Max)
	addRow("requests begun late by (p99), ms", "%.2f", r.StartDelayP99)
	printTable(t)
	if r.StartDelayP99 > maxLoadLatenessMs {
		fmt.Println("requests were begun late: this machine could not keep the schedule, and times hold its share too")
	}
	if out == "" {
		return nil
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(out, "load.json"), r); err != nil {
		return err
	}
	charts := loadCharts(s, r)
	for _, c := range charts {
		if err := c.Save(filepath.Join(out, "charts"), chart.FileName(c.Title)); err != nil {
			return err
		}
	}
	page := &chart.Page{
		Title:  s.Name + ": load",
		About:  "Real sockets on loopback, simulated clients; times count from when a request was planned.",
		Tables: []chart.Table{t},
		Charts: charts,
	}
	html, err := page.HTML()
	if err != nil {
		return err
	}
	fmt.Println("kept in", out, "- open", filepath.Join(out, "report.html"))
	return os.WriteFile(filepath.Join(out, "report.html"), html, 0o644)
}

// loadCharts returns the charts of a load run over time: answers by outcome, and response times.
func loadCharts(s *scenario.Scenario, r *live.LoadResult) []*chart.Chart {
	newLine := func(name string, value func(live.LoadWindow) float64) chart.Line {
		l := chart.Line{Name: name}
		for i, w := range r.Series {
			l.X = append(l.X, float64(i))
			l.Y = append(l.Y, value(w))
		}
		return l
	}
	answers := &chart.Chart{
		Title:     s.Name + ": answers",
		XLabel:    "time, s",
		YLabel:    "requests a second",
		YFromZero: true,
		Bands:     troubleBands(s),
		Lines: []chart.Line{
			newLine("planned", func(w live.LoadWindow) float64 { return float64(w.Planned) }),
			newLine("taken", func(w live.LoadWindow) float64 { return float64(w.Accepted) }),
			newLine("refused", func(w live.LoadWindow) float64 { return float64(w.Refused) }),
			newLine("unheard or failed", func(w live.LoadWindow) float64 { return float64(w.NoAnswer + w.Failed) }),
		},
	}
	times := &chart.Chart{
		Title:  s.Name + ": time to the answer",
		XLabel: "time, s",
		YLabel: "ms, from the planned time",
		LogY:   true,
		Bands:  troubleBands(s),
		Lines: []chart.Line{
			newLine("p50", func(w live.LoadWindow) float64 { return w.P50 }),
			newLine("p99", func(w live.LoadWindow) float64 { return w.P99 }),
		},
	}
	return []*chart.Chart{answers, times}
}
