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

// Load reads a settings file, sets the defaults and validates every field.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, coder.New(coder.SettingsInvalid, "reading the settings: "+err.Error())
	}
	return Parse(path, raw)
}

// Parse parses settings, sets the defaults and validates every field. Error
// messages refer to the file as name.
func Parse(name string, raw []byte) (Settings, error) {
	var s Settings
	if err := yaml.UnmarshalWithOptions(raw, &s, yaml.Strict()); err != nil {
		return Settings{}, coder.New(coder.SettingsInvalid, describeError(name, err, s))
	}
	s.SetDefaults()
	if err := s.Validate(); err != nil {
		return Settings{}, coder.New(coder.SettingsInvalid, name+": "+coder.From(err).Message)
	}
	return s, nil
}

// describeError describes a parse error with file, line and column. For an unknown
// field it suggests the most similar field name of the settings' type.
func describeError[T any](name string, err error, settings T) string {
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) {
		field := strings.Trim(strings.TrimPrefix(unknown.Message, "unknown field "), "\"")
		position := unknown.Token.Position
		return fmt.Sprintf("%s:%d:%d: unknown field %q; did you mean %q?", name, position.Line, position.Column, field, nearestFieldName(field, settings))
	}
	var syntax yaml.Error
	if errors.As(err, &syntax) && syntax.GetToken() != nil {
		position := syntax.GetToken().Position
		return fmt.Sprintf("%s:%d:%d: %s", name, position.Line, position.Column, syntax.GetMessage())
	}
	return name + ": " + err.Error()
}

// nearestFieldName returns the field name of settings with the smallest Levenshtein
// distance to a name; of several, the alphabetically first.
func nearestFieldName(field string, settings any) string {
	known := map[string]bool{}
	collectFieldNames(reflect.TypeOf(settings), known)
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

// collectFieldNames adds the YAML names of all fields of a type, nested ones too.
func collectFieldNames(t reflect.Type, names map[string]bool) {
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
			collectFieldNames(f.Type, names)
		}
	}
}
