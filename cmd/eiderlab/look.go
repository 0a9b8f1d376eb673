// This file owns the commands that show results and reference lists: compare, plot, scenario, troubles and policies.
// They must play no runs of their own; compare --on starts other eiderlab programs for that.

package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"eiderhaven/lab/chart"
	"eiderhaven/lab/experiment"
	"eiderhaven/lab/scenario"
	"eiderhaven/lab/world"
)

func newCompare() *cobra.Command {
	var scenarioPath, policyA, policyB, out string
	var seeds int
	c := &cobra.Command{
		Use:   "compare A [B]",
		Short: "Compare two results, two policies of one result, or two builds, paired by seed",
		Long: `compare pairs runs with the same parameters and seed, and shows the mean difference of each figure with its 95 %
confidence interval. A and B are result folders of sweep; or, with --on, eiderlab programs of two builds,
which both play that scenario; or one folder, with --a and --b naming two policies in it.`,
		Example: `  eiderlab compare results/before results/after
  eiderlab compare results/mixed --a rules --b backoff
  eiderlab compare /tmp/eiderlab-old bin/eiderlab --on lab/scenarios/fleet.toml --seeds 10`,
		Args: cobra.RangeArgs(1, 2),
		RunE: func(c *cobra.Command, args []string) error {
			folders, err := openSides(c.Context(), args, scenarioPath, out, seeds)
			if err != nil {
				return err
			}
			return compare(folders, policyA, policyB, len(args) == 2)
		},
	}
	c.Flags().StringVar(&scenarioPath, "on", "", "A and B are programs: the scenario that both play")
	c.Flags().IntVar(&seeds, "seeds", 10, "with --on: seeds to play")
	c.Flags().StringVar(&out, "out", "", "with --on: folder to keep both results in (default: a temporary one)")
	c.Flags().StringVar(&policyA, "a", "", "policy of the first side (default: any)")
	c.Flags().StringVar(&policyB, "b", "", "policy of the second side (default: any)")
	return c
}

// openSides opens the result folders of both sides. If scenarioPath is not empty, args names two eiderlab programs,
// which play that scenario into subfolders a and b of out first. With a single folder, both sides are that folder.
func openSides(ctx context.Context, args []string, scenarioPath, out string, seeds int) ([2]*experiment.Folder, error) {
	var folders [2]*experiment.Folder
	if scenarioPath != "" && len(args) != 2 {
		return folders, usageError{fmt.Errorf("--on needs two programs")}
	}
	if scenarioPath != "" && out == "" {
		dir, err := os.MkdirTemp("", "eiderlab-compare")
		if err != nil {
			return folders, err
		}
		out = dir
	}
	for i := range folders {
		path := args[min(i, len(args)-1)]
		if scenarioPath != "" {
			target := filepath.Join(out, []string{"a", "b"}[i])
			cmd := exec.CommandContext(ctx, path,
				"sweep", scenarioPath, "--seeds", strconv.Itoa(seeds), "--out", target)
			cmd.Stderr = os.Stderr
			if err := cmd.Run(); err != nil {
				return folders, fmt.Errorf("%s: %w", path, err)
			}
			path = target
		}
		var err error
		if folders[i], err = experiment.Open(path); err != nil {
			return folders, err
		}
	}
	return folders, nil
}

// compare prints the differences between the runs of two sides. An empty policy selects the runs of all policies.
func compare(folders [2]*experiment.Folder, policyA, policyB string, twoFolders bool) error {
	if !twoFolders && (policyA == "" || policyB == "" || policyA == policyB) {
		return usageError{fmt.Errorf("with one folder, --a and --b must name two policies in it")}
	}
	rowsOf := func(f *experiment.Folder, policy string) (rows []experiment.Row) {
		for _, r := range f.Rows() {
			if policy == "" || r.Point.Policy == policy {
				rows = append(rows, r)
			}
		}
		return rows
	}
	key := func(r experiment.Row) string {
		pairKey := strings.Join(r.AxisValues, "\x00") + "\x00" + strconv.FormatUint(r.Point.Seed, 10)
		if policyA == "" && policyB == "" {
			pairKey += "\x00" + r.Point.Policy
		}
		return pairKey
	}
	diffs, pairs, unmatched := experiment.Compare(rowsOf(folders[0], policyA), rowsOf(folders[1], policyB), key)
	if pairs == 0 {
		return fmt.Errorf("no two runs have the same parameters and seed: nothing to compare")
	}
	t := chart.Table{Head: []string{"figure", "A", "B", "B - A", "higher", "lower", ""}}
	for _, d := range diffs {
		mark := ""
		if d.Significant() && d.Diff.N > 1 {
			mark = "clear"
		}
		t.Rows = append(t.Rows, []string{
			d.Name,
			d.A.String(),
			d.B.String(),
			d.Diff.String(),
			strconv.Itoa(d.Higher),
			strconv.Itoa(d.Lower),
			mark,
		})
	}
	printTable(t)
	fmt.Printf("%d pairs, %d runs without a partner; 95 %% confidence intervals; "+
		"clear: the interval of the difference leaves out 0\n", pairs, unmatched)
	return nil
}

func newPlot() *cobra.Command {
	return &cobra.Command{
		Use:     "plot FOLDER",
		Short:   "Make the charts and the page of a result folder anew",
		Example: "  eiderlab plot results/fleet",
		Args:    exactly(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if f, err := experiment.Open(args[0]); err == nil {
				if err := f.Report(); err != nil {
					return err
				}
				fmt.Println("open", filepath.Join(args[0], "report.html"))
				return nil
			}
			results, err := experiment.ReadRuns(args[0])
			if err != nil {
				return fmt.Errorf("%w; expected a folder written by run or sweep", err)
			}
			s, err := scenario.Load(filepath.Join(args[0], "scenario.toml"))
			if err != nil {
				return err
			}
			text, err := s.Encode()
			if err != nil {
				return err
			}
			if err := experiment.SaveRuns(args[0], text, results, troubleBands(s)); err != nil {
				return err
			}
			fmt.Println("open", filepath.Join(args[0], "report.html"))
			return nil
		},
	}
}

func newScenario() *cobra.Command {
	c := &cobra.Command{Use: "scenario", Short: "Check scenario files and list their keys"}
	c.AddCommand(&cobra.Command{
		Use: "check FILE...", Short: "Read files and name every fault", Args: cobra.MinimumNArgs(1),
		Example: "  eiderlab scenario check lab/scenarios/*.toml",
		RunE: func(_ *cobra.Command, args []string) error {
			refused := 0
			for _, f := range args {
				s, err := scenario.Load(f)
				if err != nil {
					refused++
					fmt.Fprintln(os.Stderr, err)
					continue
				}
				fmt.Printf("%s: good: %s, %d senders, %d destinations, %g messages a second, %d troubles\n",
					f, s.Name, s.Senders.Count, s.DestinationCount(), s.Traffic.Rate, len(s.Troubles))
			}
			if refused > 0 {
				return fmt.Errorf("%d of %d files are refused", refused, len(args))
			}
			return nil
		},
	}, &cobra.Command{
		Use: "keys", Short: "Print every key with its type, default and meaning, as Markdown", Args: exactly(0),
		RunE: func(*cobra.Command, []string) error {
			fmt.Print(scenarioDoc())
			return nil
		},
	}, &cobra.Command{
		Use: "show FILE", Short: "Print a scenario with every default filled in", Args: exactly(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			text, err := s.Encode()
			if err == nil {
				_, err = os.Stdout.Write(text)
			}
			return err
		},
	})
	return c
}

// scenarioDoc returns the text of docs/lab-scenario.md. A test fails if the file differs.
func scenarioDoc() string {
	var b strings.Builder
	b.WriteString("# Scenario files of the lab\n\n" +
		"Printed by `eiderlab scenario keys` from the declarations in `lab/scenario`. TOML, strictly read: an unknown key, a\n" +
		"number without its unit or an impossible value is refused with file, line and what was expected. Durations are\n" +
		"texts with a unit (\"250ms\", \"2.5s\", \"1m30s\"). `[]` marks a list of tables.\n\n")
	write := func(keys []scenario.Key) {
		t := chart.Table{Head: []string{"key", "type", "default", "meaning"}}
		for _, k := range keys {
			t.Rows = append(t.Rows, []string{"`" + k.Name + "`", k.Type, k.Default, k.Doc})
		}
		b.WriteString(t.Markdown())
	}
	write(scenario.Keys())
	b.WriteString("\n## Distributions\n\n" +
		"Keys of a distribution, as in `service = { dist = \"lognormal\", mean = \"150ms\", cv = 0.5 }`:\n\n")
	write(scenario.DistributionKeys())
	b.WriteString("\n## Troubles\n\n")
	t := chart.Table{Head: []string{"kind", "what it does"}}
	for _, k := range scenario.TroubleKinds() {
		t.Rows = append(t.Rows, []string{"`" + k + "`", scenario.AboutTrouble(k)})
	}
	b.WriteString(t.Markdown())
	return b.String()
}

func newTroubles() *cobra.Command {
	return &cobra.Command{
		Use: "troubles", Short: "List what may go wrong in a scenario", Args: exactly(0),
		RunE: func(*cobra.Command, []string) error {
			for _, k := range scenario.TroubleKinds() {
				fmt.Printf("%-20s %s\n", k, scenario.AboutTrouble(k))
			}
			return nil
		},
	}
}

func newPolicies() *cobra.Command {
	return &cobra.Command{
		Use: "policies", Short: "List the policies that can be played", Args: exactly(0),
		RunE: func(*cobra.Command, []string) error {
			for _, p := range world.Policies() {
				fmt.Printf("%-10s %s\n", p, world.DescribePolicy(p))
			}
			return nil
		},
	}
}
