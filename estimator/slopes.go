// Package estimator estimates the resources that the roles of the fleet need at
// the size forecast for two years from now, from benchmark results.
package estimator

import (
	"bufio"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Slope holds the measurements of one benchmark metric over several runs.
type Slope struct {
	// Benchmark is the name of the benchmark.
	Benchmark string
	// Unit is the unit of the metric, such as ns/op.
	Unit string
	// Values are the measurements of all runs in ascending order.
	Values []float64
}

// Median returns the median.
func (s Slope) Median() float64 {
	return s.Values[len(s.Values)/2]
}

// Least returns the smallest value.
func (s Slope) Least() float64 {
	return s.Values[0]
}

// Most returns the largest value.
func (s Slope) Most() float64 {
	return s.Values[len(s.Values)-1]
}

// Slopes holds the measurements of all benchmarks.
type Slopes struct {
	list []Slope
}

// Parse parses the output of go test -bench.
func Parse(r io.Reader) (Slopes, error) {
	var s Slopes
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		name := fields[0]
		if cut := strings.LastIndexByte(name, '-'); cut > 0 {
			name = name[:cut]
		}
		for i := 2; i+1 < len(fields); i += 2 {
			v, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return Slopes{}, eris.Wrapf(err, "parsing value %q of benchmark %s", fields[i], name)
			}
			s.add(name, fields[i+1], v)
		}
	}
	return s, eris.Wrap(lines.Err(), "reading benchmark output")
}

// add inserts one measurement.
func (s *Slopes) add(name, unit string, v float64) {
	for i := range s.list {
		if s.list[i].Benchmark == name && s.list[i].Unit == unit {
			at, _ := slices.BinarySearch(s.list[i].Values, v)
			s.list[i].Values = slices.Insert(s.list[i].Values, at, v)
			return
		}
	}
	s.list = append(s.list, Slope{Benchmark: name, Unit: unit, Values: []float64{v}})
}

// Find returns the measurements of a benchmark in a unit, or an error if there are none.
func (s Slopes) Find(name, unit string) (Slope, error) {
	for _, slope := range s.list {
		if slope.Benchmark == name && slope.Unit == unit {
			return slope, nil
		}
	}
	return Slope{}, eris.Errorf("benchmark output has no %s value of %s", unit, name)
}

// All returns all measurements in the order of the benchmark output.
func (s Slopes) All() []Slope {
	return s.list
}
