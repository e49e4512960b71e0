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

// entry is what this command reads of a journal entry.
type entry struct {
	ID      string   `json:"id"`
	Command string   `json:"cmd"`
	Site    string   `json:"site"`
	At      []string `json:"at"`
	Head    string   `json:"head"`
	OK      bool     `json:"ok"`
	Digest  string   `json:"digest"`
}

// measurement is one figure of a sweep: of the middle and of the busiest process, by size.
type measurement struct {
	name            string
	median, busiest []float64
}

// sweep is the table of one sweep.
type sweep struct {
	entry
	sizes []int // own machines
	rows  []measurement
}

var (
	headerLine = regexp.MustCompile(`(?m)^ +((?:\d+ +)+\d+) +power`)
	rowLine    = regexp.MustCompile(`(?m)^([a-z+][^\n/]*?) {2,}((?:[\d.]+ / [\d.]+ +)+)`)
	valuePair       = regexp.MustCompile(`([\d.]+) / ([\d.]+)`)
)

// readSweep reads a journal entry; nil if it is not that of a whole sweep.
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

// parse reads the table in an entry's digest.
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
			middle, _ := strconv.ParseFloat(p[1], 64)
			busiest, _ := strconv.ParseFloat(p[2], 64)
			m.median, m.busiest = append(m.median, middle), append(m.busiest, busiest)
		}
		if len(m.median) == len(s.sizes) {
			s.rows = append(s.rows, m)
		}
	}
	return s, nil
}

// powerLaw is a figure's growth as a power of the size, by least squares over the logarithms.
type powerLaw struct {
	exponent, standardError float64 // its standard error; NaN with two points
	atTarget          float64 // the figure at the target
}

// fit gives the slope of a figure; false where a point is not above 0, so that it has no logarithm.
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
	power := sxy / sxx
	var rest float64
	for i, v := range values {
		off := math.Log(v) - meanY - power*(math.Log(float64(sizes[i]))-meanX)
		rest += off * off
	}
	return powerLaw{
		exponent:     power,
		standardError: math.Sqrt(rest / (n - 2) / sxx),
		atTarget:   math.Exp(meanY + power*(math.Log(float64(target))-meanX)),
	}, true
}
