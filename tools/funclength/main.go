// Command funclength sees that no function is longer than maxLines, but for those in a
// list that may only shrink: a listed function that is short by now, or gone, has to leave
// it. It prints how many functions there are, and how many are listed.
// Usage: funclength LIST
package main

import (
	"fmt"
	"go/ast"
	"go/token"
	"io/fs"
	"os"

	"keelstair.example/tools/ratchet"
	"keelstair.example/tools/source"
)

// maxLines is how many lines a function may have, from its "func" to its closing brace.
const maxLines = 60

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: funclength LIST")
		os.Exit(2)
	}
	listed, err := ratchet.Read(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	functions, err := measure(os.DirFS("."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	faults := check(listed, functions)
	for _, fault := range faults {
		fmt.Println(fault)
	}
	fmt.Printf("%d functions, %d of them known to be longer than %d lines\n", len(functions), len(listed), maxLines)
	if len(faults) > 0 {
		os.Exit(1)
	}
}

// function is one function or method. Its id, "PACKAGE NAME", stays the same when it
// moves to another file of the package.
type function struct {
	id       string
	position token.Position
	lines    int
}

// measure gives every function of the tree, those of tests too.
func measure(root fs.FS) ([]function, error) {
	set := token.NewFileSet()
	files, err := source.Files(root, set)
	if err != nil {
		return nil, err
	}
	var functions []function
	for _, file := range files {
		for _, declaration := range file.Decls {
			if declared, ok := declaration.(*ast.FuncDecl); ok {
				functions = append(functions, describe(set, file, declared))
			}
		}
	}
	return functions, nil
}

func describe(set *token.FileSet, file source.File, declared *ast.FuncDecl) function {
	start, end := set.Position(declared.Pos()), set.Position(declared.End())
	return function{
		id:       file.Package + " " + source.FunctionName(declared),
		position: start,
		lines:    end.Line - start.Line + 1,
	}
}

// check gives a line for each long function that is not listed, and for each listed one
// that is no longer long.
func check(listed []string, functions []function) (faults []string) {
	var long []string
	byID := map[string]function{}
	for _, f := range functions {
		if f.lines > maxLines {
			long = append(long, f.id)
			byID[f.id] = f
		}
	}
	unlisted, stale := ratchet.Compare(listed, long)
	for _, id := range unlisted {
		f := byID[id]
		faults = append(
			faults,
			fmt.Sprintf(
				"%s:%d: %s has %d lines, over %d", f.position.Filename, f.position.Line, f.id, f.lines, maxLines,
			),
		)
	}
	for _, id := range stale {
		faults = append(
			faults,
			fmt.Sprintf(
				"%s is listed as long, but has %d lines at most or is gone: remove it from the list",
				id,
				maxLines,
			),
		)
	}
	return faults
}
