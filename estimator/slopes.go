// Package estimator works out what the roles of the fleet need at the size of
// two years from now, from slopes that the benchmarks measured.
package estimator

import (
	"bufio"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Slope is one measured figure with its spread.
type Slope struct {
	// Benchmark names the benchmark.
	Benchmark string
	// Unit is the unit of the figure, such as ns/op.
	Unit string
	// Values are the figures of all runs in ascending order.
	Values []float64
}

// Median returns the middle figure.
func (s Slope) Median() float64 {
	return s.Values[len(s.Values)/2]
}

// Least returns the smallest figure.
func (s Slope) Least() float64 {
	return s.Values[0]
}

// Most returns the largest figure.
func (s Slope) Most() float64 {
	return s.Values[len(s.Values)-1]
}

// Slopes are the figures of the benchmarks.
type Slopes struct {
	list []Slope
}

// Parse reads the output of go test -bench.
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
				return Slopes{}, eris.Wrapf(err, "reading the figure %q of %s", fields[i], name)
			}
			s.add(name, fields[i+1], v)
		}
	}
	return s, eris.Wrap(lines.Err(), "reading the slopes")
}

// add takes one figure in.
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

// Find returns a figure, or an error that names what is missing.
func (s Slopes) Find(name, unit string) (Slope, error) {
	for _, x := range s.list {
		if x.Benchmark == name && x.Unit == unit {
			return x, nil
		}
	}
	return Slope{}, eris.Errorf("no figure %s of %s among the slopes", unit, name)
}

// All returns all figures in the order of the benchmarks.
func (s Slopes) All() []Slope {
	return s.list
}
