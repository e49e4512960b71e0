package main

import (
	"fmt"
	"go/ast"
	"go/token"
	"io/fs"

	"keelstair.example/tools/source"
)

// scan returns, by package directory, a line for each exported item without a doc comment. It skips tests and
// generated files, and packages that consist only of these.
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

// undocumented returns the names of the exported items of a declaration that have no doc comment.
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

// undocumentedFunction returns the name of an exported function without a doc comment. It ignores methods of
// unexported types.
func undocumentedFunction(function *ast.FuncDecl) []*ast.Ident {
	receiver := source.Receiver(function)
	hidden := receiver != "" && !ast.IsExported(receiver)
	if hidden || function.Doc != nil || !function.Name.IsExported() {
		return nil
	}
	return []*ast.Ident{function.Name}
}

// undocumentedSpec returns the exported names of one spec that have no doc comment. For constants and variables, a
// comment on their group or at the end of the line counts too; a type in a group needs its own comment.
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
