// The programs that come with keelstair.

package routing

import "embed"

//go:embed programs/*.star
var shipped embed.FS

// Shipped gives the text of a program that comes with keelstair: free, prefix
// or short.
func Shipped(name string) string {
	b, err := shipped.ReadFile("programs/" + name + ".star")
	if err != nil {
		return ""
	}
	return string(b)
}
