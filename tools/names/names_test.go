package main

import (
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/require"
)

// TestScan checks that listed words are found only as whole words, in source files outside exempt directories.
func TestScan(t *testing.T) {
	words := []string{"fooBar", "Foo-Bar", "/foo/", "fooBars"}
	file := func(text string) *fstest.MapFile { return &fstest.MapFile{Data: []byte(text)} }
	tree := fstest.MapFS{
		"platform/a.go":          file("fooBar"),
		"platform/sub/a.go":      file("fooBar"),
		"docs/a.go":              file("fooBar"),
		".git/a.go":              file("fooBar"),
		"frontend/readme.md":     file("fooBar"),
		"frontend/a.go":          file("package frontend\n\nvar x = \"fooBar\" // Foo-Bar\n"),
		"frontend/platform/b.go": file("fooBar"),
		"frontend/c.go":          file("xfooBar fooBarx foobar fooBar2 foo_fooBar"),
		"state/a.cue":            file("a: 1\nfooBars: 2\n"),
		"routing/a.star":         file("get(\"/x/foo/y\")\n"),
	}
	require.ElementsMatch(t, []string{
		"frontend/a.go:3: fooBar",
		"frontend/a.go:3: Foo-Bar", "frontend/platform/b.go:1: fooBar", "state/a.cue:2: fooBars", "routing/a.star:1: /foo/",
	}, scan(tree, "platform", words))
}
