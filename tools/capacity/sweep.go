package main

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"regexp"
	"strconv"
	"strings"
)

// entry holds the fields of a journal entry that this command reads.
type entry struct {
	ID      string   `json:"id"`
	Command string   `json:"cmd"`
	Site    string   `json:"site"`
	At      []string `json:"at"`
	Head    string   `json:"head"`
	OK      bool     `json:"ok"`
	Digest  string   `json:"digest"`
}

// measurement holds one metric of a sweep: for each size, its value in the median and in the busiest process.
type measurement struct {
	name            string
	median, busiest []float64
}

// sweep holds the table of one sweep.
type sweep struct {
	entry
	sizes []int // numbers of machines of the router fleet
	rows  []measurement
}

var (
	headerLine = regexp.MustCompile(`(?m)^ +((?:\d+ +)+\d+) +power`)
	rowLine    = regexp.MustCompile(`(?m)^([a-z+][^\n/]*?) {2,}((?:[\d.]+ / [\d.]+ +)+)`)
	valuePair  = regexp.MustCompile(`([\d.]+) / ([\d.]+)`)
)

// readSweep reads a journal entry. It returns nil if the entry is not that of a successful sweep with a table.
func readSweep(path string) (*sweep, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var e entry
	if err := json.Unmarshal(body, &e); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if e.Command != "sweep" || !e.OK {
		return nil, nil
	}
	return parse(e)
}

// parse reads the table in the digest of an entry. It returns nil if the digest has none.
func parse(e entry) (*sweep, error) {
	header := headerLine.FindStringSubmatch(e.Digest)
	if header == nil {
		return nil, nil
	}
	s := &sweep{entry: e}
	for _, field := range strings.Fields(header[1]) {
		n, err := strconv.Atoi(field)
		if err != nil {
			return nil, fmt.Errorf("entry %s: size %q: %w", e.ID, field, err)
		}
		s.sizes = append(s.sizes, n)
	}
	for _, line := range rowLine.FindAllStringSubmatch(e.Digest, -1) {
		m := measurement{name: line[1]}
		for _, p := range valuePair.FindAllStringSubmatch(line[2], -1) {
			median, _ := strconv.ParseFloat(p[1], 64)
			busiest, _ := strconv.ParseFloat(p[2], 64)
			m.median, m.busiest = append(m.median, median), append(m.busiest, busiest)
		}
		if len(m.median) == len(s.sizes) {
			s.rows = append(s.rows, m)
		}
	}
	return s, nil
}

// powerLaw describes the growth of a metric as a power of the size, fitted by least squares to the logarithms of
// both.
type powerLaw struct {
	exponent, standardError float64 // standardError is that of the exponent, which is not a finite number with two sizes
	atTarget                float64 // the extrapolated value at the target size
}

// fit fits a power law to the values of a metric. It returns false if a value is not above 0 and so has no logarithm.
func fit(sizes []int, values []float64, target int) (powerLaw, bool) {
	n := float64(len(sizes))
	var sumX, sumY float64
	for i, v := range values {
		if v <= 0 {
			return powerLaw{}, false
		}
		sumX += math.Log(float64(sizes[i]))
		sumY += math.Log(v)
	}
	meanX, meanY := sumX/n, sumY/n
	var sxx, sxy float64
	for i, v := range values {
		dx := math.Log(float64(sizes[i])) - meanX
		sxx += dx * dx
		sxy += dx * (math.Log(v) - meanY)
	}
	exponent := sxy / sxx
	var squaredResiduals float64
	for i, v := range values {
		residual := math.Log(v) - meanY - exponent*(math.Log(float64(sizes[i]))-meanX)
		squaredResiduals += residual * residual
	}
	return powerLaw{
		exponent:      exponent,
		standardError: math.Sqrt(squaredResiduals / (n - 2) / sxx),
		atTarget:      math.Exp(meanY + exponent*(math.Log(float64(target))-meanX)),
	}, true
}
