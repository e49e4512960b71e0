// What the holder of the list answers.

package proxy

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file told_note.go

// ListReply has the rows only where they are newer; Age is how long ago the platform was
// asked, in nanoseconds. Reads and Ends are those of the other nodes; Stands, what changed after
// the number that was asked from, up to Stood.
type ListReply struct {
	Seq    uint64
	Age    int64
	Rows   []Row
	Reads  []Reads
	Ends   []Outcomes `msg:",omitempty"`
	Stood  uint64     `msg:"Stood,omitempty"`
	Stands []Stands   `msg:"Stands,omitempty"`
}
