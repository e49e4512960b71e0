// Command funclength checks that no function is longer than maxLines, except those in a list that may only
// shrink: a listed function that is no longer too long or no longer exists must be removed from it. It prints
// the number of functions and the number of listed ones.
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

// maxLines is the maximum number of lines of a function, from its "func" to its closing brace.
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
	problems := check(listed, functions)
	for _, problem := range problems {
		fmt.Println(problem)
	}
	fmt.Printf("%d functions, %d of them listed as longer than %d lines\n", len(functions), len(listed), maxLines)
	if len(problems) > 0 {
		os.Exit(1)
	}
}

// function is one function or method. Its id, "PACKAGE NAME", does not change when the function moves to
// another file of the package.
type function struct {
	id       string
	position token.Position
	lines    int
}

// measure returns every function of the tree, including those of tests.
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

// check returns a line for each long function that is not listed, and for each listed function that is not long.
func check(listed []string, functions []function) (problems []string) {
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
		problems = append(
			problems,
			fmt.Sprintf(
				"%s:%d: %s has %d lines, over %d", f.position.Filename, f.position.Line, f.id, f.lines, maxLines,
			),
		)
	}
	for _, id := range stale {
		problems = append(
			problems,
			fmt.Sprintf(
				"%s is listed as long, but has at most %d lines or does not exist: remove it from the list",
				id,
				maxLines,
			),
		)
	}
	return problems
}
