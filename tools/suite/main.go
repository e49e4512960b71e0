// Command suite runs the tests and tolerates the failures of the tests that are known to fail, but no others.
// Usage: suite KNOWN-RED.txt -- go test -json ... [-- go test -json ...]
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
	list, problems := parseKnown(string(text))
	if len(problems) > 0 {
		exitWithProblems(os.Args[1], problems)
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

// exitWithProblems prints the problems of an invalid list and exits before any test is run.
func exitWithProblems(path string, problems []string) {
	for _, problem := range problems {
		fmt.Fprintf(os.Stderr, "%s: %s\n", path, problem)
	}
	os.Exit(2)
}

// splitCommands splits the arguments into commands at each "--".
func splitCommands(args []string) (commands [][]string) {
	commands = append(commands, nil)
	for _, a := range args {
		if a == "--" {
			commands = append(commands, nil)
			continue
		}
		commands[len(commands)-1] = append(commands[len(commands)-1], a)
	}
	return commands
}

// runCommand runs one command to its end, prints its progress to display and returns the results.
func runCommand(args []string, display io.Writer) *run {
	r := newRun()
	if len(args) == 0 {
		return r
	}
	fmt.Fprintln(display, strings.Join(args, " "))
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stderr = os.Stderr
	output, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		fmt.Fprintln(display, err)
		r.commandFailed = true
		return r
	}
	for lines := bufio.NewReader(output); ; {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			r.processLine([]byte(strings.TrimSuffix(string(line), "\n")), display)
		}
		if err != nil {
			break
		}
	}
	r.commandFailed = cmd.Wait() != nil
	return r
}

// print writes the known failures that occurred, the reasons why the runs do not pass, and the totals.
func (v *verdict) print(w io.Writer) {
	fmt.Fprintln(w)
	for _, line := range v.knownFailures {
		fmt.Fprintln(w, "known red:", line)
	}
	for _, line := range v.failures {
		fmt.Fprintln(w, "FAILED:", line)
	}
	fmt.Fprintf(w, "%d skipped, %d known red\n", v.skipped, len(v.knownFailures))
	fmt.Fprintf(w, "%d passed, %d failed\n", v.passed, len(v.failures))
}
