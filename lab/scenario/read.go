// This file owns reading: defaults, strict decoding, and where in the file a fault stands. It must never accept a key
// that nothing reads.

package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Fault is one thing wrong with a file.
type Problem struct {
	File string
	Line int    // 0 if unknown
	Key  string // dotted, array tables by number from 0
	Msg  string // what was found and what was expected
}

func (f Problem) Error() string {
	where := f.File
	if f.Line > 0 {
		where += ":" + strconv.Itoa(f.Line)
	}
	if f.Key != "" {
		return where + ": " + f.Key + ": " + f.Msg
	}
	return where + ": " + f.Msg
}

// Faults are all the things wrong with a file, in the file's order.
type Problems []Problem

func (fs Problems) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads a file. What it returns passed every check; an error is Faults, or tells that the file cannot be read.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a file's text; name is used in errors.
func Parse(name string, text []byte) (*Scenario, error) {
	s := &Scenario{}
	setDefaults(reflect.ValueOf(s).Elem())
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return nil, decodeFaults(name, err)
	}
	lines := keyLines(text)
	s.fillLists(lines)
	s.fillTimes(lines)
	faults := append(bareNumbers(lines), s.check()...)
	for i := range faults {
		faults[i].File, faults[i].Line = name, lines.find(faults[i].Key)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// Text writes a scenario as a file that Parse reads back to the same.
func (s *Scenario) Encode() ([]byte, error) { return toml.Marshal(s) }

func decodeFaults(name string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var fs Problems
		for i := range strict.Errors {
			e := &strict.Errors[i]
			line, _ := e.Position()
			fs = append(fs, Problem{File: name, Line: line, Key: strings.Join(e.Key(), "."),
				Msg: "unknown key; 'eiderlab scenario keys' lists those there are"})
		}
		return fs
	}
	var one *toml.DecodeError
	if errors.As(err, &one) {
		line, _ := one.Position()
		return Problems{{File: name, Line: line, Key: strings.Join(one.Key(), "."),
			Msg: strings.TrimPrefix(one.Error(), "toml: ")}}
	}
	return Problems{{File: name, Msg: err.Error()}}
}

// setDefaults sets the fields that have a default, of a struct and of those within it.
func setDefaults(v reflect.Value) {
	for i := range v.NumField() {
		f, text := v.Field(i), v.Type().Field(i).Tag.Get("default")
		if f.Kind() == reflect.Struct {
			setDefaults(f)
		}
		if text != "" {
			if err := setText(f, text); err != nil {
				panic("scenario: default of " + v.Type().Field(i).Name + ": " + err.Error()) // a fault of this package, found by its tests
			}
		}
	}
}

func setText(f reflect.Value, text string) error {
	if d, ok := f.Addr().Interface().(*Duration); ok {
		return d.UnmarshalText([]byte(text))
	}
	switch f.Kind() {
	case reflect.String:
		f.SetString(text)
	case reflect.Bool:
		f.SetBool(text == "true")
	case reflect.Int:
		n, err := strconv.Atoi(text)
		f.SetInt(int64(n))
		return err
	case reflect.Uint64:
		n, err := strconv.ParseUint(text, 10, 64)
		f.SetUint(n)
		return err
	case reflect.Float64:
		x, err := strconv.ParseFloat(text, 64)
		f.SetFloat(x)
		return err
	case reflect.Slice: // the only lists with a default are of whole numbers
		var list struct{ X []int }
		err := toml.Unmarshal([]byte("X = "+text), &list)
		f.Set(reflect.ValueOf(list.X))
		return err
	default:
		return fmt.Errorf("no default for a %v", f.Kind())
	}
	return nil
}

// fillLists sets the defaults of tables in lists, for the keys that the file does not name: the decoder makes them empty.
func (s *Scenario) fillLists(lines positions) {
	fill := func(list reflect.Value, name string) {
		for i := range list.Len() {
			fillStruct(list.Index(i), fmt.Sprintf("%s.%d", name, i), lines)
		}
	}
	fill(reflect.ValueOf(s.Classes), "class")
	fill(reflect.ValueOf(s.Kinds), "kind")
	fill(reflect.ValueOf(s.Tenants), "tenant")
	fill(reflect.ValueOf(s.Troubles), "trouble")
}

func fillStruct(v reflect.Value, path string, lines positions) {
	for i := range v.NumField() {
		f, field := v.Field(i), v.Type().Field(i)
		key := path + "." + tomlName(field)
		if f.Kind() == reflect.Struct {
			fillStruct(f, key, lines)
			continue
		}
		if text := field.Tag.Get("default"); text != "" && lines[key] == 0 {
			_ = setText(f, text) // defaults are checked by setDefaults's panic in the tests
		}
	}
}

// fillTimes gives distributions that were left out their defaults.
func (s *Scenario) fillTimes(lines positions) {
	or := func(t *Distribution, key string, mean Duration) {
		if lines[key] == 0 {
			t.Mean = mean
		}
	}
	or(&s.Network.OneWay, "network.one_way", second/1000)
	or(&s.Traffic.RetryWait, "traffic.retry_wait", second/2)
	or(&s.Traffic.Rescue, "traffic.rescue", second)
	for i := range s.Kinds {
		or(&s.Kinds[i].Service, fmt.Sprintf("kind.%d.service", i), second/10)
	}
}

func tomlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	return name
}

// positions maps a dotted key to its line; array tables are numbered from 0. Under the same key with a '#' behind it stands
// the line again if the value is a bare number.
type positions map[string]int

// bareNumbers finds durations written without a unit, which the decoder would take for nanoseconds.
func bareNumbers(lines positions) Problems {
	durations := map[string]bool{}
	for _, k := range Keys() {
		switch k.Type {
		case "duration":
			durations[k.Name] = true
		case "distribution":
			for _, part := range DistributionKeys() {
				if part.Type == "duration" {
					durations[k.Name+"."+part.Name] = true
				}
			}
		}
	}
	var fs Problems
	for _, name := range slices.Sorted(maps.Keys(lines)) {
		key, bare := strings.CutSuffix(name, "#")
		if bare && durations[anyItem(key)] {
			fs = append(fs, Problem{Key: key, Msg: "a bare number: expected a number with a unit, such as \"250ms\""})
		}
	}
	return fs
}

// anyItem turns the key of a list's item into that of any of its items: "kind.0.servers" into "kind[].servers".
func anyItem(key string) string {
	parts := strings.Split(key, ".")
	out := parts[0]
	for _, part := range parts[1:] {
		if _, err := strconv.Atoi(part); err == nil {
			out += "[]"
		} else {
			out += "." + part
		}
	}
	return out
}

// find returns the line of a key, or of the nearest thing around it.
func (p positions) find(key string) int {
	for key != "" {
		if line := p[key]; line > 0 {
			return line
		}
		i := strings.LastIndex(key, ".")
		if i < 0 {
			return 0
		}
		key = key[:i]
	}
	return 0
}

// keyLines finds where keys stand. It reads a text that the decoder has accepted.
func keyLines(text []byte) positions {
	p := positions{}
	var parser unstable.Parser
	parser.Reset(text)
	table, counts := "", map[string]int{}
	for parser.NextExpression() {
		e := parser.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			name, line := dotted(&parser, e.Key())
			if e.Kind == unstable.ArrayTable {
				n := counts[name]
				counts[name]++
				name = fmt.Sprintf("%s.%d", name, n)
			} else if first, rest, ok := strings.Cut(name, "."); ok && counts[first] > 0 {
				name = fmt.Sprintf("%s.%d.%s", first, counts[first]-1, rest) // a table within the latest of a list
			}
			table = name
			p[name] = line
		case unstable.KeyValue:
			p.keyValue(&parser, table, e)
		}
	}
	return p
}

func (p positions) keyValue(parser *unstable.Parser, table string, e *unstable.Node) {
	name, line := dotted(parser, e.Key())
	if table != "" {
		name = table + "." + name
	}
	p[name] = line
	p.value(parser, name, e.Value())
}

func (p positions) value(parser *unstable.Parser, name string, v *unstable.Node) {
	switch v.Kind {
	case unstable.Integer, unstable.Float:
		p[name+"#"] = p[name]
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			if n := it.Node(); n.Kind == unstable.KeyValue {
				p.keyValue(parser, name, n)
			}
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); i++ {
			p.value(parser, fmt.Sprintf("%s.%d", name, i), it.Node())
		}
	}
}

func dotted(parser *unstable.Parser, it unstable.Iterator) (string, int) {
	var parts []string
	line := 0
	for it.Next() {
		n := it.Node()
		parts = append(parts, string(n.Data))
		line = parser.Shape(n.Raw).Start.Line
	}
	return strings.Join(parts, "."), line
}
