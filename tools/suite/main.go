// Command suite runs the tests and passes over those that are known to fail, and over
// nothing else. Usage: suite KNOWN-RED.txt -- go test -json ... [-- go test -json ...]
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

func main() {
	if len(os.Args) < 4 || os.Args[2] != "--" {
		fmt.Fprintln(os.Stderr, "usage: suite KNOWN-RED.txt -- go test -json ... [-- go test -json ...]")
		os.Exit(2)
	}
	text, err := os.ReadFile(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	list, faults := parseKnown(string(text))
	if len(faults) > 0 {
		exitWithProblems(os.Args[1], faults)
	}
	var runs []*run
	for _, args := range splitCommands(os.Args[3:]) {
		runs = append(runs, runCommand(args, os.Stdout))
	}
	v := evaluate(list, runs)
	v.print(os.Stdout)
	if len(v.failures) > 0 {
		os.Exit(1)
	}
}

// exitWithProblems ends the command, before any test is run, with the faults of a list that cannot
// be taken as it is.
func exitWithProblems(path string, faults []string) {
	for _, fault := range faults {
		fmt.Fprintf(os.Stderr, "%s: %s\n", path, fault)
	}
	os.Exit(2)
}

func splitCommands(args []string) (out [][]string) {
	out = append(out, nil)
	for _, a := range args {
		if a == "--" {
			out = append(out, nil)
			continue
		}
		out[len(out)-1] = append(out[len(out)-1], a)
	}
	return out
}

// runCommand runs one command to its end.
func runCommand(args []string, show io.Writer) *run {
	r := newRun()
	if len(args) == 0 {
		return r
	}
	fmt.Fprintln(show, strings.Join(args, " "))
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		fmt.Fprintln(show, err)
		r.commandFailed = true
		return r
	}
	for lines := bufio.NewReader(out); ; {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			r.processLine([]byte(strings.TrimSuffix(string(line), "\n")), show)
		}
		if err != nil {
			break
		}
	}
	r.commandFailed = cmd.Wait() != nil
	return r
}

func (v *verdict) print(w io.Writer) {
	fmt.Fprintln(w)
	for _, line := range v.knownRed {
		fmt.Fprintln(w, "known red:", line)
	}
	for _, line := range v.failures {
		fmt.Fprintln(w, "FAILED:", line)
	}
	fmt.Fprintf(w, "%d skipped, %d known red\n", v.skipped, len(v.knownRed))
	fmt.Fprintf(w, "%d passed, %d failed\n", v.passed, len(v.failures))
}
