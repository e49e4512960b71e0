// Command exported sees that every exported item of the packages in a list has a doc
// comment. The list may only grow: a package that is clean has to be on it, and so stays
// clean. It prints how many packages are held, and how many items are still undocumented
// elsewhere. What a comment has to look like is left to staticcheck.
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
	verbose := flag.Bool("v", false, "print each undocumented item of the packages that are not held")
	flag.Parse()
	if flag.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "usage: exported [-v] LIST")
		os.Exit(2)
	}
	held, err := ratchet.Read(flag.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	packages, err := scan(os.DirFS("."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	faults, open := check(held, packages)
	if *verbose {
		printLines(open)
	}
	printLines(faults)
	fmt.Printf("%d of %d packages held to have every exported item documented; %d items undocumented elsewhere\n",
		len(held), len(packages), len(open))
	if len(faults) > 0 {
		os.Exit(1)
	}
}

func printLines(lines []string) {
	for _, line := range lines {
		fmt.Println(line)
	}
}

// check gives a line for each fault: an undocumented item of a held package, a held
// package that does not exist, and a clean package that is not held. open are the
// undocumented items of the other packages.
func check(held []string, packages map[string][]string) (faults, open []string) {
	var clean []string
	for name, undocumented := range packages {
		switch {
		case slices.Contains(held, name):
			faults = append(faults, undocumented...)
		case len(undocumented) == 0:
			clean = append(clean, name)
		default:
			open = append(open, undocumented...)
		}
	}
	unlisted, _ := ratchet.Compare(held, clean)
	for _, name := range unlisted {
		faults = append(faults, fmt.Sprintf("%s has every exported item documented: add it to the list", name))
	}
	for _, name := range held {
		if _, ok := packages[name]; !ok {
			faults = append(faults, fmt.Sprintf("%s is listed, but there is no such package", name))
		}
	}
	slices.Sort(faults)
	slices.Sort(open)
	return faults, open
}
