// Messages between processes, and records on disk. Their MessagePack forms are part of the
// protocol between releases: a field that is renamed keeps its name there by a msg tag, and a
// new one is omitted while it is empty. TestEncodings holds the forms.

package coordination

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file messages.go
//msgp:shim ids.DiskID as:string using:string/ids.DiskID
//msgp:shim ids.Epoch as:uint64 using:uint64/ids.Epoch
//msgp:shim ids.Fence as:uint64 using:uint64/ids.Fence
//msgp:shim ids.Key as:string using:string/ids.Key
//msgp:shim ids.NodeID as:string using:string/ids.NodeID
//msgp:shim ids.OpID as:string using:string/ids.OpID
//msgp:shim ids.Seq as:uint64 using:uint64/ids.Seq
//msgp:shim ids.Zone as:string using:string/ids.Zone

// Names of the RPC methods. They are part of the protocol between releases.
const (
	ballotMethod    = "crux/ballot"
	appendMethod    = "crux/append"
	heartbeatMethod = "crux/beat"
	snapshotMethod  = "crux/picture"
	chunkMethod     = "crux/sheet"
	transferMethod  = "crux/lead"
	leaveMethod     = "crux/leave"
	// SubmitMethod takes a SubmitRequest at the primary.
	SubmitMethod = "crux/submit"
	// RenewMethod takes a RenewRequest at the primary.
	RenewMethod = "crux/renew"
	// WatchMethod takes a WatchRequest at the primary or at any agent.
	WatchMethod = "crux/news"
	// ExchangeMethod takes a PeerExchange at any process.
	ExchangeMethod = "crux/where"
)

// Replica is a disk machine: its identity and where it listens now.
type Replica struct {
	Disk ids.DiskID
	Addr string
	Zone ids.Zone
}

// Record is what the registers decide: who leads in an epoch.
type Record struct {
	Epoch     ids.Epoch
	ClusterID string `msg:"Founding" json:"Founding"`
	Primary   Replica
	Backup    Replica
	Voters    []Replica `msg:"Holders" json:"Holders"`
	// further backups, where more than one machine may be lost at once
	MoreBackups []Replica `msg:"Also" json:"Also"`
	// the holders before a change of them that is not known to be decided
	OutgoingVoters []Replica `msg:"Before,omitempty" json:"Before"`
}

// BallotRequest is either round: promise, or accept of Record.
type BallotRequest struct {
	Epoch    ids.Epoch
	From     Replica
	Accept   bool
	Takeover bool
	Record   Record
}

// BallotResponse is a register as it stands after either round. It is also what a disk keeps
// of the register.
type BallotResponse struct {
	OK         bool `msg:"Ok"`
	Promised   ids.Epoch
	Accepted   Record
	Reason     string     `msg:"Why"`
	PromisedTo ids.DiskID `msg:"PromisedTo,omitempty"` // the replica that the promise was given to
}

// Entry is one command in the log. Open entries are also news for watchers;
// a closed one shows there as its number only.
type Entry struct {
	Seq       ids.Seq
	Published bool `msg:"Open"`
	Kind      string
	Op        ids.OpID
	Body      []byte
}

// AppendRequest brings the entries that follow the number Prev to a backup, or, without any, is a
// heartbeat of the primary of an epoch.
type AppendRequest struct {
	Epoch   ids.Epoch
	From    Replica
	Prev    ids.Seq
	Entries []Entry
}

// AppendResponse tells how far a replica's log reaches, and the epoch that it has promised.
type AppendResponse struct {
	Disk          ids.DiskID // who answers a heartbeat
	OK            bool       `msg:"Ok"`
	LastSeq       ids.Seq    `msg:"Last"`
	Promised      ids.Epoch
	MissingChunks []string `msg:"Lacks"`
	Behind        bool     `msg:"Behind,omitempty"` // more than the place in the log is needed
	Digest        []byte   `msg:"Digest,omitempty"` // of the log up to LastSeq
}

// SnapshotRequest readies a backup for an epoch: with the place in the log alone, which is enough
// where the backup stands there too; with the entries after the backup's own place; or with
// the whole state.
type SnapshotRequest struct {
	Epoch   ids.Epoch
	From    Replica
	State   []byte  `msg:"Body"`
	Seq     ids.Seq `msg:"Seq,omitempty"`
	Digest  []byte  `msg:"Digest,omitempty"`
	Entries []Entry `msg:"Entries,omitempty"` // those that end at Seq
}

// ChunkRequest brings a chunk, or, without a body, asks for the one at a place.
type ChunkRequest struct {
	Epoch ids.Epoch
	Index int `msg:"At"`
	Name  string
	Body  []byte
}

// ChunkResponse gives a chunk, and how many there are.
type ChunkResponse struct {
	OK    bool `msg:"Ok"`
	Count int
	Name  string
	Body  []byte
}

// LeaveRequest tells the primary that a replica is about to end.
type LeaveRequest struct {
	Self Replica `msg:"Me"`
}

// LeaveResponse tells whether anything still depends on the replica, and the record of that.
type LeaveResponse struct {
	Done   bool
	Record Record
}

// TransferRequest is the primary of an epoch asking a backup to take over from it.
type TransferRequest struct {
	Epoch ids.Epoch
	From  Replica
}

// TransferResponse tells whether the backup will.
type TransferResponse struct {
	OK bool `msg:"Ok"`
}

// Snapshot is a snapshot of all that the core holds.
type Snapshot struct {
	Seq      ids.Seq
	LogName  string `msg:"Log"`
	Fence    ids.Fence
	Members  []Member
	Grants   []Grant
	Outcomes []Outcome `msg:"Ops"`
	Chunks   []string  `msg:"Sheets"`
	State    []byte    `msg:"App"`
	Digest   []byte    `msg:"Digest,omitempty"` // of the log up to Seq: see logDigest
}

// Outcome is the outcome an operation had.
type Outcome struct {
	Op   ids.OpID
	Seq  ids.Seq
	Body []byte
}

// Member is a node that holds a lease, known under the address it answers on.
type Member struct {
	Node ids.NodeID
	Addr string
	Zone ids.Zone
}

// Grant says who does the duty of a key, under which fence.
type Grant struct {
	Key   ids.Key
	Node  ids.NodeID
	Fence ids.Fence
}

// RenewRequest renews a lease, says how far the node has folded the news, and
// gives back keys it no longer acts under.
type RenewRequest struct {
	Self     Member  `msg:"Me"`
	Applied  ids.Seq `msg:"Seen"`
	Released []Grant `msg:"Done"`
	Leaving  bool    `msg:"Bye"`
	Time     int64   `msg:"Time,omitempty"` // the machine's is no lower, as the node counts
}

// RenewResponse lists the keys that the node should give back. Time is the machine's, if
// it keeps one: see Timekeeper.
type RenewResponse struct {
	Seq     ids.Seq
	Revoked []Grant `msg:"Drop"`
	Time    int64   `msg:"Time,omitempty"`
}

// Assignment hands keys to nodes; the fencing tokens are set as it is applied.
type Assignment struct {
	Grants []Grant
}

// SubmitRequest asks for one command. Asking again with the same Op gives the
// outcome that the first asking had.
type SubmitRequest struct {
	Op   ids.OpID
	Kind string
	Body []byte
}

// SubmitResponse is the outcome of a command: its number in the log, and what Apply gave.
type SubmitResponse struct {
	Seq    ids.Seq
	Body   []byte
	Code   string
	Reason string `msg:"Why"`
}

// PeerExchangeRequest is asked of anyone by anyone; both sides learn. It has the fields of the
// PeerExchange with which earlier releases ask.
type PeerExchangeRequest struct {
	Self     Replica `msg:"Me"`
	Empty    bool    `msg:"Blank"`
	Record   Record
	Replicas []Replica `msg:"Seats"`
	Members  []Member  // by earlier releases
	Seq      ids.Seq   // of the log, that these are as of
	Leaving  bool      `msg:"Leaving,omitempty"`
	// The number of the log that the members known to the asker are as of.
	KnownSeq ids.Seq `msg:"KnownSeq,omitempty"`
	// The asker wants no members.
	NoMembers bool `msg:"NoMembers,omitempty"`
}

// PeerExchange is the answer. The members, of which there may be hundreds, are told only to who
// lacks them and wants them.
type PeerExchange struct {
	Self     Replica `msg:"Me" json:"Me"`
	Empty    bool    `msg:"Blank" json:"Blank"`
	Record   Record
	Replicas []Replica `msg:"Seats" json:"Seats"`
	Members  []Member
	Seq      ids.Seq // of the log, that the members are as of
	Leaving  bool    `msg:"Leaving,omitempty"` // it is about to end and takes on nothing new
}

// Empty is a message that says nothing.
type Empty struct{}

// WatchRequest asks for the entries after a number, waiting so many nanoseconds for the first one.
type WatchRequest struct {
	From ids.Seq
	Wait int64
}

// WatchResponse brings entries up to the number Seq, or, where they are not kept any more, a
// snapshot of the open part of the state.
type WatchResponse struct {
	Seq      ids.Seq
	Snapshot []byte `msg:"Picture"` // the name on the wire is that of earlier releases
	Entries  []Entry
	Epoch    ids.Epoch `msg:"Epoch,omitempty"` // in which the news was decided last
}
