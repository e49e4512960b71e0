// The messages of decrees: configurations, zones and drains.

package fleetstate

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file decree.go
//msgp:shim ids.Version as:uint64 using:uint64/ids.Version
//msgp:shim ids.Zone as:string using:string/ids.Zone
//msgp:shim ids.WorkerID as:string using:string/ids.WorkerID

// Vacate empties a zone, or takes that back. With Compare it is refused as stale unless the
// zone has changed Base times so far; without, its operation's id alone tells a repetition.
type Vacate struct {
	Zone    ids.Zone
	Out     bool
	Compare bool
	Base    uint64
}

// Drain keeps new work from a worker, or takes that back.
type Drain struct {
	Worker ids.WorkerID
	Out    bool
}

// Ruled is a version with its text.
type Ruled struct {
	Version ids.Version
	Text    []byte
}

// Ruling answers a decree.
type Ruling struct {
	Version ids.Version
}
