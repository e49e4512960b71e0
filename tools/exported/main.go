// Command exported checks that every exported item of each listed package has a doc comment. A package whose
// exported items are all documented must be on the list, so that the list only grows. The command prints the
// number of listed packages, the number of all packages and the number of items that are still undocumented in
// packages that are not listed. It does not check the form of comments; staticcheck does that.
// Usage: exported [-v] LIST
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"

	"keelstair.example/tools/ratchet"
)

func main() {
	verbose := flag.Bool("v", false, "print each undocumented item of the packages that are not listed")
	flag.Parse()
	if flag.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "usage: exported [-v] LIST")
		os.Exit(2)
	}
	listed, err := ratchet.Read(flag.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	packages, err := scan(os.DirFS("."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	problems, elsewhere := check(listed, packages)
	if *verbose {
		printLines(elsewhere)
	}
	printLines(problems)
	fmt.Printf("%d of %d packages must have every exported item documented; %d items undocumented elsewhere\n",
		len(listed), len(packages), len(elsewhere))
	if len(problems) > 0 {
		os.Exit(1)
	}
}

func printLines(lines []string) {
	for _, line := range lines {
		fmt.Println(line)
	}
}

// check returns a line for each problem: an undocumented item of a listed package, a listed package that does
// not exist, and a fully documented package that is not listed. It also returns the undocumented items of the
// other packages.
func check(listed []string, packages map[string][]string) (problems, elsewhere []string) {
	var documented []string
	for name, undocumented := range packages {
		switch {
		case slices.Contains(listed, name):
			problems = append(problems, undocumented...)
		case len(undocumented) == 0:
			documented = append(documented, name)
		default:
			elsewhere = append(elsewhere, undocumented...)
		}
	}
	unlisted, _ := ratchet.Compare(listed, documented)
	for _, name := range unlisted {
		problems = append(problems, fmt.Sprintf("%s has every exported item documented: add it to the list", name))
	}
	for _, name := range listed {
		if _, ok := packages[name]; !ok {
			problems = append(problems, fmt.Sprintf("%s is listed, but does not exist", name))
		}
	}
	slices.Sort(problems)
	slices.Sort(elsewhere)
	return problems, elsewhere
}
