// The programs that come with keelstair.

package routing

import "embed"

//go:embed programs/*.star
var shippedFiles embed.FS

// ShippedProgram gives the text of a program that comes with keelstair: free, prefix
// or short.
func ShippedProgram(name string) string {
	b, err := shippedFiles.ReadFile("programs/" + name + ".star")
	if err != nil {
		return ""
	}
	return string(b)
}
