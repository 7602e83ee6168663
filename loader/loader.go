package loader

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"sort"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/goccy/go-yaml"

	"github.com/marigoldgauge/marigoldgauge/coder"
)

// Load reads a file, fills the defaults and checks every field.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, coder.New(coder.SettingsInvalid, "reading the settings: "+err.Error())
	}
	return Parse(path, raw)
}

// Parse reads settings from text; name stands for the file in messages.
func Parse(name string, raw []byte) (Settings, error) {
	var s Settings
	if err := yaml.UnmarshalWithOptions(raw, &s, yaml.Strict()); err != nil {
		return Settings{}, coder.New(coder.SettingsInvalid, explain(name, err, s))
	}
	s.Default()
	if err := s.Check(); err != nil {
		return Settings{}, coder.New(coder.SettingsInvalid, name+": "+coder.From(err).Message)
	}
	return s, nil
}

// explain describes an error in settings of a type with file, line, column and,
// for an unknown field, the nearest known name.
func explain[T any](name string, err error, settings T) string {
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) {
		field := strings.Trim(strings.TrimPrefix(unknown.Message, "unknown field "), "\"")
		at := unknown.Token.Position
		return fmt.Sprintf("%s:%d:%d: unknown field %q; did you mean %q?", name, at.Line, at.Column, field, nearest(field, settings))
	}
	var syntax yaml.Error
	if errors.As(err, &syntax) && syntax.GetToken() != nil {
		at := syntax.GetToken().Position
		return fmt.Sprintf("%s:%d:%d: %s", name, at.Line, at.Column, syntax.GetMessage())
	}
	return name + ": " + err.Error()
}

// nearest returns the field name of settings that is the most like a name.
func nearest(field string, settings any) string {
	known := map[string]bool{}
	collect(reflect.TypeOf(settings), known)
	names := make([]string, 0, len(known))
	for n := range known {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := levenshtein.ComputeDistance(field, names[i]), levenshtein.ComputeDistance(field, names[j])
		if a != b {
			return a < b
		}
		return names[i] < names[j]
	})
	return names[0]
}

// collect gathers the names of all fields.
func collect(t reflect.Type, names map[string]bool) {
	for t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return
	}
	for i := range t.NumField() {
		f := t.Field(i)
		if tag := f.Tag.Get("yaml"); tag != "" {
			names[tag] = true
			collect(f.Type, names)
		}
	}
}
