// This file owns changes of a scenario by key, for the command line and for sweeps, and the list of keys. A changed
// scenario must pass the same checks as a file.

package scenario

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Set returns a copy of the scenario with one key changed. The key is dotted; an item of a list is selected by its
// number from 0, or by its name or kind ("kind.partners.servers"). The value is written as in a file; a word without
// quotes is a string.
func (s *Scenario) Set(key, value string) (*Scenario, error) {
	return s.SetAll(map[string]string{key: value})
}

// SetAll returns a copy of the scenario with several keys changed, as by Set. Only the whole must pass the checks, so that
// values which limit each other can be changed together.
func (s *Scenario) SetAll(values map[string]string) (*Scenario, error) {
	text, err := s.Encode()
	if err != nil {
		return nil, err
	}
	tree := map[string]any{}
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	var settings []string
	for _, key := range slices.Sorted(maps.Keys(values)) {
		if err := setPath(tree, strings.Split(key, "."), parseValue(values[key])); err != nil {
			return nil, &SetError{key, values[key], err}
		}
		settings = append(settings, "--set "+key+"="+values[key])
	}
	text, err = toml.Marshal(tree)
	if err != nil {
		return nil, err
	}
	out, err := Parse(strings.Join(settings, " "), text)
	if problems, ok := err.(Problems); ok {
		for i := range problems {
			problems[i].Line = 0 // a line of the generated text, which the user does not see
		}
		return nil, problems
	}
	return out, err
}

// SetError is a key that cannot be set.
type SetError struct {
	Key, Value string
	Err        error
}

func (e *SetError) Error() string { return fmt.Sprintf("--set %s=%s: %v", e.Key, e.Value, e.Err) }

func (e *SetError) Unwrap() error { return e.Err }

// parseValue returns the TOML value of a text, or the text itself if it is none.
func parseValue(text string) any {
	var v struct{ X any }
	if err := toml.Unmarshal([]byte("X = "+text), &v); err == nil {
		return v.X
	}
	return text
}

// setPath sets the value at a path in a tree of decoded TOML. The key must exist.
func setPath(node any, path []string, value any) error {
	switch n := node.(type) {
	case map[string]any:
		if len(path) == 1 {
			old, known := n[path[0]]
			if !known {
				return fmt.Errorf("there is no key %q here", path[0])
			}
			if _, float := old.(float64); float { // 3 may be written for 3.0
				if i, ok := value.(int64); ok {
					value = float64(i)
				}
			}
			n[path[0]] = value
			return nil
		}
		next, known := n[path[0]]
		if !known {
			return fmt.Errorf("there is no key %q here", path[0])
		}
		return setPath(next, path[1:], value)
	case []any:
		if len(path) < 2 {
			return fmt.Errorf("expected a key after %q", path[0])
		}
		for i, item := range n {
			table, _ := item.(map[string]any)
			if path[0] == strconv.Itoa(i) || table != nil && (table["name"] == path[0] || table["kind"] == path[0]) {
				return setPath(item, path[1:], value)
			}
		}
		return fmt.Errorf("there is no item %q in the list", path[0])
	}
	return fmt.Errorf("%q is not a table", path[0])
}

// Key describes one key of the format, for its documentation.
type Key struct {
	Name, Type, Default, Doc string
}

// Keys returns the keys of the format in the order of their declarations.
func Keys() []Key { return structKeys("", reflect.TypeFor[Scenario]()) }

// structKeys returns the keys of a struct and of the structs within it.
func structKeys(prefix string, t reflect.Type) []Key {
	var keys []Key
	for i := range t.NumField() {
		f := t.Field(i)
		k := Key{Name: prefix + tomlName(f), Type: typeName(f.Type), Default: f.Tag.Get("default"), Doc: f.Tag.Get("doc")}
		if k.Default == "" && (f.Type.Kind() == reflect.String || f.Type == reflect.TypeFor[Distribution]()) {
			k.Default = "-"
		}
		keys = append(keys, k)
		switch {
		case f.Type == reflect.TypeFor[Distribution](): // its keys are returned by DistributionKeys
		case f.Type.Kind() == reflect.Struct:
			keys = append(keys, structKeys(k.Name+".", f.Type)...)
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			keys = append(keys, structKeys(k.Name+"[].", f.Type.Elem())...)
		}
	}
	return keys
}

// DistributionKeys returns the keys of a distribution.
func DistributionKeys() []Key { return structKeys("", reflect.TypeFor[Distribution]()) }

// typeName returns the name of a type in the documentation of keys.
func typeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[Duration]():
		return "duration"
	case t == reflect.TypeFor[Distribution]():
		return "distribution"
	case t.Kind() == reflect.Struct:
		return "table"
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return "list of tables"
	case t.Kind() == reflect.Slice:
		return "list"
	case t.Kind() == reflect.Int || t.Kind() == reflect.Uint64:
		return "whole number"
	case t.Kind() == reflect.Float64:
		return "number"
	case t.Kind() == reflect.Bool:
		return "true or false"
	}
	return "text"
}
