// Package source parses the hand-written Go files of a tree for checks that do not need type information.
package source

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"slices"
	"strings"
)

// File is one parsed file, with its path in the tree and the slash-separated path of its package directory.
type File struct {
	Path, Package string
	*ast.File
}

// skippedDirs contain no source of the project, but build and run output and test data.
var skippedDirs = []string{"bin", "testbed-data", "target", "testdata"}

// Files parses every Go file of the tree except generated files and those in hidden or skipped directories. It
// returns them in the order of their paths and adds their positions to the file set. A file that cannot be read or
// parsed is an error.
func Files(root fs.FS, set *token.FileSet) ([]File, error) {
	var files []File
	err := fs.WalkDir(root, ".", func(name string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && name != "." && (entry.Name()[0] == '.' || slices.Contains(skippedDirs, entry.Name())):
			return fs.SkipDir
		case entry.IsDir() || path.Ext(name) != ".go":
			return nil
		}
		text, err := fs.ReadFile(root, name)
		if err != nil {
			return err
		}
		parsed, err := parser.ParseFile(set, name, text, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		if !ast.IsGenerated(parsed) {
			files = append(files, File{Path: name, Package: path.Dir(name), File: parsed})
		}
		return nil
	})
	return files, err
}

// IsTest reports whether the file is a test file.
func (f File) IsTest() bool { return strings.HasSuffix(f.Path, "_test.go") }

// FunctionName returns the name of a function as "Name" or, for a method, "Type.Name".
func FunctionName(function *ast.FuncDecl) string {
	if receiver := Receiver(function); receiver != "" {
		return receiver + "." + function.Name.Name
	}
	return function.Name.Name
}

// Receiver returns the name of a method's receiver type without pointer and type parameters. It is empty for a
// function without a receiver.
func Receiver(function *ast.FuncDecl) string {
	if function.Recv == nil || len(function.Recv.List) == 0 {
		return ""
	}
	expression := function.Recv.List[0].Type
	for {
		switch e := expression.(type) {
		case *ast.StarExpr:
			expression = e.X
		case *ast.ParenExpr:
			expression = e.X
		case *ast.IndexExpr:
			expression = e.X
		case *ast.IndexListExpr:
			expression = e.X
		case *ast.Ident:
			return e.Name
		default:
			return ""
		}
	}
}
