// The messages by which a replica leaves.

package coordination

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file leave_note.go
//msgp:shim ids.Epoch as:uint64 using:uint64/ids.Epoch

// LeaveAsk tells the primary that a replica is about to end.
type LeaveAsk struct {
	Me Replica
}

// LeaveReply tells whether anything still depends on the replica, and the record of that.
type LeaveReply struct {
	Done   bool
	Record Record
}

// LeadAsk is the primary of an epoch asking a backup to take over from it.
type LeadAsk struct {
	Epoch ids.Epoch
	From  Replica
}

// LeadReply tells whether the backup will.
type LeadReply struct {
	Ok bool
}
