// The messages of the register, of replication and of finding one another.

package coordination

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file note.go
//msgp:shim ids.Epoch as:uint64 using:uint64/ids.Epoch
//msgp:shim ids.Seq as:uint64 using:uint64/ids.Seq
//msgp:shim ids.DiskID as:string using:string/ids.DiskID
//msgp:shim ids.Zone as:string using:string/ids.Zone

// Replica is a disk machine: its identity and where it listens now.
type Replica struct {
	Disk ids.DiskID
	Addr string
	Zone ids.Zone
}
