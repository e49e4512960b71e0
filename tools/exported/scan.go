package main

import (
	"fmt"
	"go/ast"
	"go/token"
	"io/fs"

	"keelstair.example/tools/source"
)

// scan gives for each package of the tree, by its directory, a line for each exported
// item without a doc comment. Tests and generated files are left out, and packages that
// consist of them.
func scan(root fs.FS) (map[string][]string, error) {
	set := token.NewFileSet()
	files, err := source.Files(root, set)
	if err != nil {
		return nil, err
	}
	packages := map[string][]string{}
	for _, file := range files {
		if file.IsTest() {
			continue
		}
		lines := packages[file.Package]
		for _, declaration := range file.Decls {
			for _, name := range undocumented(declaration) {
				position := set.Position(name.Pos())
				lines = append(
					lines,
					fmt.Sprintf("%s:%d: exported %s has no doc comment", position.Filename, position.Line, name.Name),
				)
			}
		}
		packages[file.Package] = lines
	}
	return packages, nil
}

// undocumented gives the names of exported items of one declaration that have no doc
// comment.
func undocumented(declaration ast.Decl) []*ast.Ident {
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		return undocumentedFunction(d)
	case *ast.GenDecl:
		var names []*ast.Ident
		for _, spec := range d.Specs {
			names = append(names, undocumentedSpec(d, spec)...)
		}
		return names
	}
	return nil
}

// undocumentedFunction leaves methods of unexported types out.
func undocumentedFunction(function *ast.FuncDecl) []*ast.Ident {
	receiver := source.Receiver(function)
	hidden := receiver != "" && !ast.IsExported(receiver)
	if hidden || function.Doc != nil || !function.Name.IsExported() {
		return nil
	}
	return []*ast.Ident{function.Name}
}

// undocumentedSpec takes the comment of a group, and one at the end of the line, for
// constants and variables; a type needs one of its own.
func undocumentedSpec(declaration *ast.GenDecl, spec ast.Spec) []*ast.Ident {
	switch s := spec.(type) {
	case *ast.TypeSpec:
		alone := !declaration.Lparen.IsValid() && declaration.Doc != nil
		if s.Doc == nil && !alone && s.Name.IsExported() {
			return []*ast.Ident{s.Name}
		}
	case *ast.ValueSpec:
		if declaration.Doc == nil && s.Doc == nil && s.Comment == nil {
			return exportedNames(s.Names)
		}
	}
	return nil
}

func exportedNames(names []*ast.Ident) []*ast.Ident {
	var exported []*ast.Ident
	for _, name := range names {
		if name.IsExported() {
			exported = append(exported, name)
		}
	}
	return exported
}
