// Messages between processes, and records on disk. Their MessagePack encodings are part of the
// protocol between releases: a renamed field keeps its encoded name by a msg tag, and a new field is
// omitted while it is empty. TestEncodings checks the encodings.

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
	catchUpMethod   = "crux/picture"
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

// Replica is a machine with a disk: its disk id, current address and zone.
type Replica struct {
	Disk ids.DiskID
	Addr string
	Zone ids.Zone
}

// Record is what the registers decide: the primary, backups and voters of an epoch.
type Record struct {
	Epoch     ids.Epoch
	ClusterID string `msg:"Founding" json:"Founding"`
	Primary   Replica
	Backup    Replica
	Voters    []Replica `msg:"Holders" json:"Holders"`
	// MoreBackups are the backups after the first, with a fault tolerance above 1.
	MoreBackups []Replica `msg:"Also" json:"Also"`
	// OutgoingVoters are the voters before a change of voters that is not known to be decided.
	OutgoingVoters []Replica `msg:"Before,omitempty" json:"Before"`
}

// BallotRequest asks a register to promise an epoch, or, with Accept, to accept Record.
type BallotRequest struct {
	Epoch    ids.Epoch
	From     Replica
	Accept   bool
	Takeover bool
	Record   Record
}

// BallotResponse is the state of a register after either round. It is also the form in which a
// register is stored on disk.
type BallotResponse struct {
	OK         bool `msg:"Ok"`
	Promised   ids.Epoch
	Accepted   Record
	Reason     string     `msg:"Why"`
	PromisedTo ids.DiskID `msg:"PromisedTo,omitempty"` // the proposer to which the epoch is promised
}

// Entry is one command in the log. Published entries also go to watchers; of any other entry, a
// watcher sees only the sequence number.
type Entry struct {
	Seq       ids.Seq
	Published bool `msg:"Open"`
	Kind      string
	Op        ids.OpID
	Body      []byte
}

// AppendRequest sends a backup the entries that follow the sequence number Prev. It is also the
// heartbeat of the primary of an epoch, without entries.
type AppendRequest struct {
	Epoch   ids.Epoch
	From    Replica
	Prev    ids.Seq
	Entries []Entry
}

// AppendResponse has the end of a replica's log and the epoch that it has promised.
type AppendResponse struct {
	Disk          ids.DiskID // the replica that answers a heartbeat
	OK            bool       `msg:"Ok"`
	LastSeq       ids.Seq    `msg:"Last"`
	Promised      ids.Epoch
	MissingChunks []string `msg:"Lacks"`
	Behind        bool     `msg:"Behind,omitempty"` // the replica needs entries or a snapshot
	Digest        []byte   `msg:"Digest,omitempty"` // of the log up to LastSeq
}

// CatchUpRequest brings a backup to the proposer's state, in one of three ways: with Seq and Digest alone if
// the backup's log equals the proposer's, with the entries that follow the backup's log, or with the
// full state.
type CatchUpRequest struct {
	Epoch   ids.Epoch
	From    Replica
	State   []byte  `msg:"Body"`
	Seq     ids.Seq `msg:"Seq,omitempty"`
	Digest  []byte  `msg:"Digest,omitempty"`
	Entries []Entry `msg:"Entries,omitempty"` // the last of them is Seq
}

// ChunkRequest sends a chunk, or, without a body, requests the chunk at Index.
type ChunkRequest struct {
	Epoch ids.Epoch
	Index int `msg:"At"`
	Name  string
	Body  []byte
}

// ChunkResponse has a chunk and the number of chunks.
type ChunkResponse struct {
	OK    bool `msg:"Ok"`
	Count int
	Name  string
	Body  []byte
}

// LeaveRequest tells the primary that a replica is shutting down.
type LeaveRequest struct {
	Self Replica `msg:"Me"`
}

// LeaveResponse reports whether the replica has been removed from the membership, with the newest record.
type LeaveResponse struct {
	Done   bool
	Record Record
}

// TransferRequest asks a backup to take over from the primary of an epoch.
type TransferRequest struct {
	Epoch ids.Epoch
	From  Replica
}

// TransferResponse reports whether the backup accepts.
type TransferResponse struct {
	OK bool `msg:"Ok"`
}

// Snapshot is the core's state at a sequence number.
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

// Outcome is the recorded result of an operation.
type Outcome struct {
	Op   ids.OpID
	Seq  ids.Seq
	Body []byte
}

// Member is a node that holds a lease, with the address it listens on.
type Member struct {
	Node ids.NodeID
	Addr string
	Zone ids.Zone
}

// Grant assigns a key to a node under a fencing token.
type Grant struct {
	Key   ids.Key
	Node  ids.NodeID
	Fence ids.Fence
}

// RenewRequest renews a node's lease. It reports the last entry that the node has applied, and
// releases keys under which the node no longer acts.
type RenewRequest struct {
	Self     Member  `msg:"Me"`
	Applied  ids.Seq `msg:"Seen"`
	Released []Grant `msg:"Done"`
	Leaving  bool    `msg:"Bye"`
	Time     int64   `msg:"Time,omitempty"` // the node's lower bound of the state machine's time
}

// RenewResponse lists the grants that the node should release. Time is the state machine's time, if
// it is a Timekeeper.
type RenewResponse struct {
	Seq     ids.Seq
	Revoked []Grant `msg:"Drop"`
	Time    int64   `msg:"Time,omitempty"`
}

// Assignment grants keys to nodes; the fencing tokens are set when it is applied.
type Assignment struct {
	Grants []Grant
}

// SubmitRequest submits one command. A request repeated with the same Op returns the outcome of the
// first one.
type SubmitRequest struct {
	Op   ids.OpID
	Kind string
	Body []byte
}

// SubmitResponse is the outcome of a command: its sequence number in the log and the result of Apply.
type SubmitResponse struct {
	Seq    ids.Seq
	Body   []byte
	Code   string
	Reason string `msg:"Why"`
}

// PeerExchangeRequest may be sent by any process to any other; each merges what the other knows. It
// has the fields of PeerExchange, which earlier releases send as the request.
type PeerExchangeRequest struct {
	Self     Replica `msg:"Me"`
	Empty    bool    `msg:"Blank"`
	Record   Record
	Replicas []Replica `msg:"Seats"`
	Members  []Member  // sent by earlier releases only
	Seq      ids.Seq   // log position at which Members was current
	Leaving  bool      `msg:"Leaving,omitempty"`
	// KnownSeq is the log position at which the sender's list of members was current.
	KnownSeq ids.Seq `msg:"KnownSeq,omitempty"`
	// NoMembers asks for a response without members.
	NoMembers bool `msg:"NoMembers,omitempty"`
}

// PeerExchange is the response to a PeerExchangeRequest. The members, of which there may be hundreds,
// are sent only to a process that lacks them and asks for them.
type PeerExchange struct {
	Self     Replica `msg:"Me" json:"Me"`
	Empty    bool    `msg:"Blank" json:"Blank"`
	Record   Record
	Replicas []Replica `msg:"Seats" json:"Seats"`
	Members  []Member
	Seq      ids.Seq // log position at which Members was current
	Leaving  bool    `msg:"Leaving,omitempty"` // the sender is shutting down and takes no new role
}

// Empty is a message without fields.
type Empty struct{}

// WatchRequest requests the entries after the sequence number From, waiting up to Wait nanoseconds
// for the first one.
type WatchRequest struct {
	From ids.Seq
	Wait int64
}

// WatchResponse has the entries up to the sequence number Seq, or, where they are no longer kept, a
// snapshot of the published part of the state.
type WatchResponse struct {
	Seq      ids.Seq
	Snapshot []byte `msg:"Picture"` // the name on the wire is that of earlier releases
	Entries  []Entry
	Epoch    ids.Epoch `msg:"Epoch,omitempty"` // in which the term of the publishing primary began
}
