// Package experiment plays a plan of simulated runs (a grid of parameters, policies and seeds) on all cores and owns
// the result folder in which the outcomes are stored. The stored results must never depend on the order in which runs
// finish.
//
// This file owns the plan and the description of the program that plays it.
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

// oraclePolicy is the policy that sees the true state of the receivers and serves as the reference in comparisons.
const oraclePolicy = "oracle"

// Axis is one parameter of a grid: a scenario key and its values in the syntax of Scenario.Set.
type Axis struct {
	Key    string   `json:"key"`
	Values []string `json:"values"`
}

// ParseAxis parses "key=v1,v2,v3". If the list contains a bracket or a semicolon, values are separated by semicolons
// instead, so that they may contain commas: "kind.x.endpoints=[1, 2];[2, 4]".
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

// Plan is a set of runs: every combination of the axes' values, played with every policy and every seed.
type Plan struct {
	Scenario *scenario.Scenario `json:"-"`
	Axes     []Axis             `json:"axes"`
	Policies []string           `json:"policies"`
	Seeds    []uint64           `json:"seeds"`
}

// Point identifies one run of a plan: a combination of axis values, a policy and a seed.
type Point struct {
	Index      int      `json:"index"`
	AxisValues []string `json:"set"` // one value for each axis of the plan, in its order
	Policy     string   `json:"policy"`
	Seed       uint64   `json:"seed"`
}

// Points returns all runs in the plan's order: the first axis varies slowest, then further axes, policies and seeds.
func (p *Plan) Points() []Point {
	combinations := [][]string{{}}
	for _, a := range p.Axes {
		var extended [][]string
		for _, combination := range combinations {
			for _, v := range a.Values {
				extended = append(extended, append(append([]string{}, combination...), v))
			}
		}
		combinations = extended
	}
	var points []Point
	for _, combination := range combinations {
		for _, policy := range p.Policies {
			for _, seed := range p.Seeds {
				points = append(points, Point{Index: len(points), AxisValues: combination, Policy: policy, Seed: seed})
			}
		}
	}
	return points
}

// ScenarioFor returns the plan's scenario with the given value set for each axis.
func (p *Plan) ScenarioFor(axisValues []string) (*scenario.Scenario, error) {
	s := p.Scenario
	for i, v := range axisValues {
		var err error
		if s, err = s.Set(p.Axes[i].Key, v); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Validate returns an error if any run of the plan could not be played, so that a sweep fails before its first run.
func (p *Plan) Validate() error {
	if len(p.Seeds) == 0 || len(p.Policies) == 0 {
		return fmt.Errorf("a plan needs at least one seed and one policy")
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

// Seeds returns n consecutive seeds that start at first.
func Seeds(first uint64, n int) []uint64 {
	var out []uint64
	for i := range n {
		out = append(out, first+uint64(i))
	}
	return out
}

// programDigestLength is the number of hexadecimal digits kept of the executable's digest.
const programDigestLength = 16

// manifestFormat is the version of plan.json.
const manifestFormat = 1

// Build identifies the program that plays runs: its version control revision, if known, and its Go release.
type Build struct {
	Go       string `json:"go"`
	Revision string `json:"revision"`
	Changed  bool   `json:"changed,omitempty"` // built from sources with uncommitted changes

	// Program is the start of the executable's SHA-256. It differs between any two builds that differ at all.
	Program string `json:"program"`
}

// ThisBuild describes the running program.
func ThisBuild() Build {
	b := Build{Go: runtime.Version(), Revision: "unknown", Program: programDigest()}
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

// programDigest returns the start of the SHA-256 of the running executable, which it reads only once. It returns
// "unknown" if the executable cannot be read.
var programDigest = sync.OnceValue(func() string {
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
	return hex.EncodeToString(h.Sum(nil))[:programDigestLength]
})

// manifest is the content of plan.json: the plan, the digest of its scenario, and the program that played it.
type manifest struct {
	Format   int    `json:"format"`
	Scenario string `json:"scenario"` // name
	Digest   string `json:"digest"`   // SHA-256 of scenario.toml
	Build    Build  `json:"build"`
	Plan
}

// manifest returns the content of plan.json for this plan, given the text of its scenario.toml.
func (p *Plan) manifest(scenarioText []byte) manifest {
	sum := sha256.Sum256(scenarioText)
	return manifest{
		Format:   manifestFormat,
		Scenario: p.Scenario.Name,
		Digest:   hex.EncodeToString(sum[:]),
		Build:    ThisBuild(),
		Plan:     *p,
	}
}

// encode returns the manifest as indented JSON.
func (m manifest) encode() []byte {
	out, _ := json.MarshalIndent(m, "", "  ") // cannot fail: the manifest holds only plain values
	return append(out, '\n')
}
