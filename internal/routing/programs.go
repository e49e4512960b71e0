// This file embeds the routing programs that are shipped with keelstair.

package routing

import "embed"

//go:embed programs/*.star
var shippedFiles embed.FS

// ShippedProgram returns the source code of a program that is shipped with keelstair (free, prefix
// or short), or "" for any other name.
func ShippedProgram(name string) string {
	b, err := shippedFiles.ReadFile("programs/" + name + ".star")
	if err != nil {
		return ""
	}
	return string(b)
}
