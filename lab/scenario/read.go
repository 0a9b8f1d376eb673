// This file owns reading of scenario files: defaults, strict decoding, and the line of each problem. It must never
// accept a key that nothing reads.

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

// Problem is one error in a scenario file.
type Problem struct {
	File string
	Line int    // 0 if unknown
	Key  string // dotted; items of array tables by number from 0
	Msg  string // what was found, and what was expected
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

// Problems are all errors of a scenario file.
type Problems []Problem

func (problems Problems) Error() string {
	lines := make([]string, len(problems))
	for i, f := range problems {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads a scenario file and checks it. The error is of type Problems, unless the file cannot be read.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(path, text)
}

// Parse reads and checks the text of a scenario file. Errors refer to the file by the given name.
func Parse(name string, text []byte) (*Scenario, error) {
	s := &Scenario{}
	setDefaults(reflect.ValueOf(s).Elem())
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return nil, decodeProblems(name, err)
	}
	lines := keyLines(text)
	s.setListDefaults(lines)
	s.setDistributionDefaults(lines)
	problems := append(bareNumbers(lines), s.check()...)
	for i := range problems {
		problems[i].File, problems[i].Line = name, lines.find(problems[i].Key)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

// Encode returns the text of a file from which Parse reads an equal scenario.
func (s *Scenario) Encode() ([]byte, error) { return toml.Marshal(s) }

// decodeProblems converts an error of the decoder.
func decodeProblems(name string, err error) error {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		var problems Problems
		for i := range missing.Errors {
			e := &missing.Errors[i]
			line, _ := e.Position()
			problems = append(problems, Problem{File: name, Line: line, Key: strings.Join(e.Key(), "."),
				Msg: "unknown key; 'eiderlab scenario keys' lists the known ones"})
		}
		return problems
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		return Problems{{File: name, Line: line, Key: strings.Join(decodeErr.Key(), "."),
			Msg: strings.TrimPrefix(decodeErr.Error(), "toml: ")}}
	}
	return Problems{{File: name, Msg: err.Error()}}
}

// setDefaults sets the fields with a default in a struct and the structs within it.
func setDefaults(v reflect.Value) {
	for i := range v.NumField() {
		f, text := v.Field(i), v.Type().Field(i).Tag.Get("default")
		if f.Kind() == reflect.Struct {
			setDefaults(f)
		}
		if text != "" {
			if err := setFromText(f, text); err != nil {
				// A mistake in a tag of this package, which any of its tests finds.
				panic("scenario: default of " + v.Type().Field(i).Name + ": " + err.Error())
			}
		}
	}
}

// setFromText sets a field to the value of a default tag.
func setFromText(f reflect.Value, text string) error {
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
	case reflect.Slice: // only lists of whole numbers have a default
		var list struct{ X []int }
		err := toml.Unmarshal([]byte("X = "+text), &list)
		f.Set(reflect.ValueOf(list.X))
		return err
	default:
		return fmt.Errorf("no default for a %v", f.Kind())
	}
	return nil
}

// setListDefaults sets the defaults of keys that the file leaves out in array tables, whose items the decoder creates
// empty.
func (s *Scenario) setListDefaults(lines keyPositions) {
	setAll := func(list reflect.Value, name string) {
		for i := range list.Len() {
			setItemDefaults(list.Index(i), fmt.Sprintf("%s.%d", name, i), lines)
		}
	}
	setAll(reflect.ValueOf(s.Classes), "class")
	setAll(reflect.ValueOf(s.Kinds), "kind")
	setAll(reflect.ValueOf(s.Tenants), "tenant")
	setAll(reflect.ValueOf(s.Troubles), "trouble")
}

// setItemDefaults sets the defaults of keys that the file leaves out in one item of an array table.
func setItemDefaults(v reflect.Value, path string, lines keyPositions) {
	for i := range v.NumField() {
		f, field := v.Field(i), v.Type().Field(i)
		key := path + "." + tomlName(field)
		if f.Kind() == reflect.Struct {
			setItemDefaults(f, key, lines)
			continue
		}
		if text := field.Tag.Get("default"); text != "" && lines[key] == 0 {
			_ = setFromText(f, text) // setDefaults panics on the same error
		}
	}
}

// setDistributionDefaults sets the mean of distributions that the file leaves out.
func (s *Scenario) setDistributionDefaults(lines keyPositions) {
	setMean := func(t *Distribution, key string, mean Duration) {
		if lines[key] == 0 {
			t.Mean = mean
		}
	}
	setMean(&s.Network.OneWay, "network.one_way", second/1000)
	setMean(&s.Traffic.RetryWait, "traffic.retry_wait", second/2)
	setMean(&s.Traffic.Rescue, "traffic.rescue", second)
	for i := range s.Kinds {
		setMean(&s.Kinds[i].Service, fmt.Sprintf("kind.%d.service", i), second/10)
	}
}

// tomlName returns the key of a field.
func tomlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	return name
}

// keyPositions maps a dotted key to its line; items of array tables are numbered from 0. If the value is a bare number,
// the line is also stored under the key with a '#' appended.
type keyPositions map[string]int

// bareNumbers returns the durations without a unit, which the decoder would read as nanoseconds.
func bareNumbers(lines keyPositions) Problems {
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
	var problems Problems
	for _, name := range slices.Sorted(maps.Keys(lines)) {
		key, bare := strings.CutSuffix(name, "#")
		if bare && durations[withoutItemNumbers(key)] {
			problems = append(problems, Problem{
				Key: key,
				Msg: "a bare number: expected a number with a unit, such as \"250ms\"",
			})
		}
	}
	return problems
}

// withoutItemNumbers replaces the number of a list item in a key: "kind.0.servers" becomes "kind[].servers".
func withoutItemNumbers(key string) string {
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

// find returns the line of a key, or of the innermost table around it that has one, or 0.
func (p keyPositions) find(key string) int {
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

// keyLines returns the lines of all keys in a text that the decoder has accepted.
func keyLines(text []byte) keyPositions {
	p := keyPositions{}
	var parser unstable.Parser
	parser.Reset(text)
	table, counts := "", map[string]int{}
	for parser.NextExpression() {
		e := parser.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			name, line := dottedKey(&parser, e.Key())
			if e.Kind == unstable.ArrayTable {
				n := counts[name]
				counts[name]++
				name = fmt.Sprintf("%s.%d", name, n)
			} else if first, rest, ok := strings.Cut(name, "."); ok && counts[first] > 0 {
				name = fmt.Sprintf("%s.%d.%s", first, counts[first]-1, rest) // a table within the latest list item
			}
			table = name
			p[name] = line
		case unstable.KeyValue:
			p.addKeyValue(&parser, table, e)
		}
	}
	return p
}

// addKeyValue adds a key in a table and the keys within its value.
func (p keyPositions) addKeyValue(parser *unstable.Parser, table string, e *unstable.Node) {
	name, line := dottedKey(parser, e.Key())
	if table != "" {
		name = table + "." + name
	}
	p[name] = line
	p.addValue(parser, name, e.Value())
}

// addValue adds the keys within a value.
func (p keyPositions) addValue(parser *unstable.Parser, name string, v *unstable.Node) {
	switch v.Kind {
	case unstable.Integer, unstable.Float:
		p[name+"#"] = p[name]
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			if n := it.Node(); n.Kind == unstable.KeyValue {
				p.addKeyValue(parser, name, n)
			}
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); i++ {
			p.addValue(parser, fmt.Sprintf("%s.%d", name, i), it.Node())
		}
	}
}

// dottedKey returns a key as a dotted string, and the line of its last part.
func dottedKey(parser *unstable.Parser, it unstable.Iterator) (string, int) {
	var parts []string
	line := 0
	for it.Next() {
		n := it.Node()
		parts = append(parts, string(n.Data))
		line = parser.Shape(n.Raw).Start.Line
	}
	return strings.Join(parts, "."), line
}
