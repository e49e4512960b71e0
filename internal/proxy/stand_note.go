// The messages by which what the workers report reaches all nodes.

package proxy

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file stand_note.go
//msgp:tuple Stand
//msgp:tuple Stands

// Stand is how one worker stood: its place in the list, memory in blocks, requests. Without
// room, it told nothing.
type Stand struct {
	Place   int
	Used    int
	Room    int
	Running int
	Waiting int
}

// Stands are the workers of a service that changed, and how many ms ago all were asked.
type Stands struct {
	Service string
	Age     int
	Rows    []Stand
}
