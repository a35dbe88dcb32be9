package capacity

import (
	"bufio"
	"encoding/json"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// benchNamePattern matches the name of a sub-benchmark of BenchmarkCapacity,
// with the GOMAXPROCS suffix that go test may append.
var benchNamePattern = regexp.MustCompile(`^BenchmarkCapacity/([a-z-]+)/(\d+)(?:-\d+)?$`)

// ParseBench reads the output of go test -bench Capacity and returns the
// series of all benchmarks. It fails if a benchmark is missing or malformed.
// If a benchmark ran several times, the last run is used.
func ParseBench(in io.Reader) ([]Series, error) {
	values := map[benchPoint]float64{}
	scanner := bufio.NewScanner(in)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) == 0 {
			continue
		}
		name := benchNamePattern.FindStringSubmatch(fields[0])
		if name == nil {
			continue
		}
		if err := parseMetrics(values, name, fields); err != nil {
			return nil, err
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	return benchSeries(values)
}

func parseMetrics(values map[benchPoint]float64, name, fields []string) error {
	size, err := strconv.Atoi(name[2])
	if err != nil {
		return Error.New("benchmark %s: size %q: %v", name[1], name[2], err)
	}
	if len(fields) < 4 || len(fields)%2 != 0 {
		return Error.New("benchmark %s/%d: the line is not a list of value and unit pairs", name[1], size)
	}
	for pair := range slices.Chunk(fields[2:], 2) {
		v, err := strconv.ParseFloat(pair[0], 64)
		if err != nil {
			return Error.New("benchmark %s/%d: value %q: %v", name[1], size, pair[0], err)
		}
		values[benchPoint{name[1], size, pair[1]}] = v
	}
	return nil
}

// Replace replaces the series that have the same IDs as the given ones. It
// fails if the results have no series with one of these IDs.
func (r *Results) Replace(series []Series) error {
	for _, s := range series {
		i := slices.IndexFunc(r.Series, func(old Series) bool { return old.ID == s.ID })
		if i < 0 {
			return Error.New("the saved results have no series %q", s.ID)
		}
		r.Series[i] = s
	}
	return r.Validate()
}

// ReadJSON reads saved results. It rejects unknown fields and results that
// Validate rejects.
func ReadJSON(in io.Reader) (Results, error) {
	var r Results
	dec := json.NewDecoder(in)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&r); err != nil {
		return Results{}, Error.Wrap(err)
	}
	return r, r.Validate()
}

// WriteJSON writes results in the form that ReadJSON reads.
func WriteJSON(out io.Writer, r Results) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	return Error.Wrap(enc.Encode(r))
}
