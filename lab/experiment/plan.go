// Package experiment owns experiments: a plan of runs (a grid of parameters, policies and seeds), playing it over all cores,
// and the folder that its results are kept in. It must never let the order in which runs finish show in what is kept.
package experiment

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"

	"eiderhaven/lab/scenario"
	"eiderhaven/lab/world"
)

// Axis is one parameter of a grid: a scenario key and its values, as Scenario.Set takes them.
type Axis struct {
	Key    string   `json:"key"`
	Values []string `json:"values"`
}

// ParseAxis reads "key=v1,v2,v3". Values that hold commas stand in brackets: "kind.x.endpoints=[1, 2];[2, 4]".
func ParseAxis(text string) (Axis, error) {
	key, list, ok := strings.Cut(text, "=")
	if !ok || key == "" || list == "" {
		return Axis{}, fmt.Errorf("--vary %q: expected KEY=VALUE,VALUE,..., such as senders.count=1,3,10", text)
	}
	separator := ","
	if strings.ContainsAny(list, "[;") {
		separator = ";"
	}
	a := Axis{Key: strings.TrimSpace(key)}
	for _, v := range strings.Split(list, separator) {
		a.Values = append(a.Values, strings.TrimSpace(v))
	}
	return a, nil
}

// Plan is a set of runs: every combination of the axes' values, with every policy and every seed.
type Plan struct {
	Scenario *scenario.Scenario `json:"-"`
	Axes     []Axis             `json:"axes"`
	Policies []string           `json:"policies"`
	Seeds    []uint64           `json:"seeds"`
}

// Point is one run of a plan.
type Point struct {
	Index      int      `json:"index"`
	AxisValues []string `json:"set"` // the value of each axis
	Policy     string   `json:"policy"`
	Seed       uint64   `json:"seed"`
}

// Points lists the runs in the plan's order: axes as given, the first slowest, then policies, then seeds.
func (p *Plan) Points() []Point {
	cells := [][]string{{}}
	for _, a := range p.Axes {
		var next [][]string
		for _, c := range cells {
			for _, v := range a.Values {
				next = append(next, append(append([]string{}, c...), v))
			}
		}
		cells = next
	}
	var points []Point
	for _, c := range cells {
		for _, policy := range p.Policies {
			for _, seed := range p.Seeds {
				points = append(points, Point{Index: len(points), AxisValues: c, Policy: policy, Seed: seed})
			}
		}
	}
	return points
}

// At returns the scenario of a point.
func (p *Plan) ScenarioFor(set []string) (*scenario.Scenario, error) {
	s := p.Scenario
	for i, v := range set {
		var err error
		if s, err = s.Set(p.Axes[i].Key, v); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Check names what is wrong with a plan before anything is played.
func (p *Plan) Validate() error {
	if len(p.Seeds) == 0 || len(p.Policies) == 0 {
		return fmt.Errorf("a plan needs a seed and a policy at least")
	}
	for _, name := range p.Policies {
		if world.DescribePolicy(name) == "" {
			return fmt.Errorf("policy %q is unknown: expected one of %v", name, world.Policies())
		}
	}
	seen := map[string]bool{}
	for _, point := range p.Points() {
		key := strings.Join(point.AxisValues, "\x00")
		if seen[key] {
			continue
		}
		seen[key] = true
		if _, err := p.ScenarioFor(point.AxisValues); err != nil {
			return err
		}
	}
	return nil
}

// Seeds returns n seeds from a first one.
func Seeds(first uint64, n int) []uint64 {
	var out []uint64
	for i := range n {
		out = append(out, first+uint64(i))
	}
	return out
}

// Build says which program plays: its version control revision where there is one, and the Go release.
type Build struct {
	Go       string `json:"go"`
	Revision string `json:"revision"`
	Changed  bool   `json:"changed,omitempty"` // the sources differed from the revision
	Program  string `json:"program"`           // start of the SHA-256 of the program itself: two builds that differ at all differ here
}

// ThisBuild describes the running program.
func ThisBuild() Build {
	b := Build{Go: runtime.Version(), Revision: "unknown", Program: digestOfProgram()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = s.Value
		case "vcs.modified":
			b.Changed = s.Value == "true"
		}
	}
	return b
}

// digestOfProgram reads the running program once; "unknown" where it cannot be read.
var digestOfProgram = sync.OnceValue(func() string {
	path, err := os.Executable()
	if err != nil {
		return "unknown"
	}
	f, err := os.Open(path)
	if err != nil {
		return "unknown"
	}
	defer f.Close()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return "unknown"
	}
	return hex.EncodeToString(h.Sum(nil))[:16]
})

// manifest is what a folder says of how its rows were made.
type manifest struct {
	Format   int    `json:"format"`
	Scenario string `json:"scenario"` // name
	Digest   string `json:"digest"`   // of scenario.toml
	Build    Build  `json:"build"`
	Plan
}

func (p *Plan) manifest(text []byte) manifest {
	sum := sha256.Sum256(text)
	return manifest{Format: 1, Scenario: p.Scenario.Name, Digest: hex.EncodeToString(sum[:]), Build: ThisBuild(), Plan: *p}
}

func (m manifest) text() []byte {
	out, _ := json.MarshalIndent(m, "", "  ") // plain values always encode
	return append(out, '\n')
}
