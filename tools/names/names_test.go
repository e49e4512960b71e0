// Planted words, found or rightly let be.

package main

import (
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/require"
)

func TestScan(t *testing.T) {
	words := []string{"fooBar", "Foo-Bar", "/foo/", "fooBars"}
	file := func(text string) *fstest.MapFile { return &fstest.MapFile{Data: []byte(text)} }
	tree := fstest.MapFS{
		"platform/a.go":      file("fooBar"),
		"platform/sub/a.go":  file("fooBar"),
		"docs/a.go":          file("fooBar"),
		".git/a.go":          file("fooBar"),
		"door/readme.md":     file("fooBar"),
		"door/a.go":          file("package door\n\nvar x = \"fooBar\" // Foo-Bar\n"),
		"door/platform/b.go": file("fooBar"),
		"door/c.go":          file("xfooBar fooBarx foobar fooBar2 foo_fooBar"),
		"state/a.cue":        file("a: 1\nfooBars: 2\n"),
		"routing/a.star":     file("get(\"/x/foo/y\")\n"),
	}
	require.ElementsMatch(t, []string{
		"door/a.go:3: fooBar",
		"door/a.go:3: Foo-Bar", "door/platform/b.go:1: fooBar", "state/a.cue:2: fooBars", "routing/a.star:1: /foo/",
	}, scan(tree, "platform", words))
}
