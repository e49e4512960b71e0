// Command findings runs staticcheck (with -f json) and ignores the findings in a list that may only shrink: a
// listed finding that is no longer reported must be removed from it. It prints the number of findings and the
// number of listed ones.
// Usage: findings LIST -- staticcheck -f json PACKAGE...
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"

	"keelstair.example/tools/ratchet"
)

func main() {
	if len(os.Args) < 4 || os.Args[2] != "--" {
		fmt.Fprintln(os.Stderr, "usage: findings LIST -- staticcheck -f json PACKAGE...")
		os.Exit(2)
	}
	listed, err := ratchet.Read(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	reported, err := runChecker(os.Args[3:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "staticcheck:", err)
		os.Exit(2)
	}
	problems := check(listed, reported)
	for _, problem := range problems {
		fmt.Println(problem)
	}
	fmt.Printf("%d staticcheck findings, %d listed\n", len(reported), len(listed))
	if len(problems) > 0 {
		os.Exit(1)
	}
}

// exitFindings is the exit code of staticcheck if it has findings, but also if it could not check the code.
const exitFindings = 1

// runChecker returns the findings of a command. The command must either succeed without findings, or exit with
// exitFindings and have some. Any other outcome means that the code was not checked, and is an error.
func runChecker(command []string) ([]finding, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	var output bytes.Buffer
	checker := exec.Command(command[0], command[1:]...)
	checker.Stdout = &output
	checker.Stderr = os.Stderr
	failure := checker.Run()
	reported, err := readFindings(&output, root)
	if err != nil {
		return nil, err
	}
	found := checker.ProcessState != nil && checker.ProcessState.ExitCode() == exitFindings && len(reported) > 0
	if failure != nil && !found {
		return nil, failure
	}
	return reported, nil
}

// finding is one line of the output of staticcheck.
type finding struct {
	Code     string `json:"code"`
	Message  string `json:"message"`
	Location struct {
		File   string `json:"file"`
		Line   int    `json:"line"`
		Column int    `json:"column"`
	} `json:"location"`
}

// id identifies a finding by its file, check and message. It omits the line number, which changes with edits above
// the line.
func (f finding) id() string {
	return fmt.Sprintf("%s %s %s", f.Location.File, f.Code, f.Message)
}

// readFindings reads all findings from the input. It makes paths relative to root.
func readFindings(input io.Reader, root string) ([]finding, error) {
	var reported []finding
	for decoder := json.NewDecoder(input); ; {
		var f finding
		err := decoder.Decode(&f)
		if errors.Is(err, io.EOF) {
			return reported, nil
		}
		if err == nil && f.Code == "" {
			err = errors.New("finding without a code")
		}
		if err != nil {
			return nil, err
		}
		if relative, err := filepath.Rel(root, f.Location.File); err == nil {
			f.Location.File = filepath.ToSlash(relative)
		}
		reported = append(reported, f)
	}
}

// check returns a line for each finding that is not listed, and for each listed finding that is no longer
// reported.
func check(listed []string, reported []finding) (problems []string) {
	var ids []string
	for _, f := range reported {
		ids = append(ids, f.id())
	}
	unlisted, stale := ratchet.Compare(listed, ids)
	for _, f := range reported {
		for _, id := range unlisted {
			if f.id() == id {
				location := f.Location
				problems = append(
					problems, fmt.Sprintf("%s:%d:%d: %s (%s)", location.File, location.Line, location.Column, f.Message, f.Code),
				)
			}
		}
	}
	for _, id := range stale {
		problems = append(problems, fmt.Sprintf("%q is listed, but no longer found: remove it from the list", id))
	}
	return problems
}
