// Package source parses the hand-written Go files of a tree for the checks that need no
// types.
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

// File is one parsed file, with its path in the tree and the slash-separated path of its
// package's directory.
type File struct {
	Path, Package string
	*ast.File
}

// skipped are directories without source of the project: what is built or run here.
var skipped = []string{"bin", "testbed-data", "target", "testdata"}

// Files parses every Go file of the tree but generated ones, in the order of their paths;
// positions are those of the file set. A file that cannot be read or parsed is an error.
func Files(root fs.FS, set *token.FileSet) ([]File, error) {
	var files []File
	err := fs.WalkDir(root, ".", func(name string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && name != "." && (entry.Name()[0] == '.' || slices.Contains(skipped, entry.Name())):
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

// IsTest tells whether the file belongs to its package's tests only.
func (f File) IsTest() bool { return strings.HasSuffix(f.Path, "_test.go") }

// FunctionName names a function of a package as "Name" or, for a method, "Type.Name".
func FunctionName(function *ast.FuncDecl) string {
	if receiver := Receiver(function); receiver != "" {
		return receiver + "." + function.Name.Name
	}
	return function.Name.Name
}

// Receiver names the type that a method belongs to, without pointer and type parameters;
// it is empty for a plain function.
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
