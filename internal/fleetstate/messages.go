// Commands of the log, their answers, and the encoded state. Their MessagePack forms and the
// names of the commands are part of the protocol between releases: a field that is renamed
// keeps its name there by a msg tag, and a new one is omitted while it is empty.

package fleetstate

import (
	"keelstair.example/ids"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file messages.go
//msgp:shim ids.Fence as:uint64 using:uint64/ids.Fence
//msgp:shim ids.Incarnation as:string using:string/ids.Incarnation
//msgp:shim ids.NodeID as:string using:string/ids.NodeID
//msgp:shim ids.Role as:string using:string/ids.Role
//msgp:shim ids.Version as:uint64 using:uint64/ids.Version
//msgp:shim ids.WorkerID as:string using:string/ids.WorkerID
//msgp:shim ids.Zone as:string using:string/ids.Zone

// Names of these commands in the log. Reading writes nothing.
const (
	AppendAuditKind = "lore.audit"
	AuditQueryKind  = "lore.audits"
)

// Names of these commands in the log.
const (
	RevokeKind            = "lore.revoke"
	ConfirmRevocationKind = "lore.seal"
	AdvanceClockKind      = "lore.clock"
)

// Kinds of command by their names in the log.
const (
	PrepareKind      = "lore.stage"
	CommitKind       = "lore.activate"
	EvacuateKind     = "lore.vacate"
	DrainKind        = "lore.drain"
	ClaimKind        = "lore.claim"
	ResolveKind      = "lore.settle"
	TakeOverKind     = "lore.seize"
	AssignWorkerKind = "lore.bind"
	// QueryKind changes nothing and is always refused: asked under an operation's
	// id, it gives the outcome that the operation had, if it had one.
	QueryKind = "lore.ask"
)

// Kinds of command for program sets.
const (
	PrepareProgramsKind = "lore.programs.stage"
	CommitProgramsKind  = "lore.programs.activate"
)

// SlowStartEndedKind is the name of SlowStartEnded in the log.
const SlowStartEndedKind = "lore.warmed"

// RoleChangeKind is the name of RoleChange in the log.
const RoleChangeKind = "lore.turn"

// DutyRoundKind is the name of DutyRound in the log.
const DutyRoundKind = "lore.duty"

// PrepareVersion brings a whole, checked configuration, made over the version Base.
// Next is the number it gets; 0 is the one after Base. With Delta, Text is a Delta from
// the text of Base.
type PrepareVersion struct {
	Base  ids.Version
	Text  []byte
	Next  ids.Version
	Delta bool
}

// CommitVersion puts a prepared version in force.
type CommitVersion struct {
	Version ids.Version
}

// VersionedText is a version with its text.
type VersionedText struct {
	Version ids.Version
	Text    []byte
}

// VersionReply answers a decree.
type VersionReply struct {
	Version ids.Version
}

// Delta makes a text from the one before it.
type Delta struct {
	Size     int
	Checksum []byte `msg:"Sum"`
	Hunks    []Hunk
}

// Hunk is a piece of the older text, and what follows it.
type Hunk struct {
	From, Len int
	Text      []byte
}

// OutcomeQuery is the body of an QueryKind command: the version that the operation was made
// over, and whether it was for the line of program sets.
type OutcomeQuery struct {
	Base     ids.Version
	Programs bool
}

// Evacuate empties a zone, or takes that back. With Compare it is refused as stale unless the
// zone has changed BaseRevision times so far; without, its operation's id alone tells a repetition.
type Evacuate struct {
	Zone         ids.Zone
	Evacuated    bool `msg:"Out"`
	Compare      bool
	BaseRevision uint64 `msg:"Base"`
}

// Drain keeps new work from a worker, or takes that back.
type Drain struct {
	Worker  ids.WorkerID
	Drained bool `msg:"Out"`
}

// SlowStartEnded says that the workers of a zone that was taken back are warm by now.
type SlowStartEnded struct {
	Zone   ids.Zone
	Number uint64 `msg:"No"`
}

// Failback is a zone that was taken back, the how-manieth of all times that was, and for how
// long it surely has been so, in ns. That is counted on the clock of whoever leads, anew
// after a takeover, and so is never too long.
type Failback struct {
	Zone      ids.Zone
	Number    uint64 `msg:"No"`
	ElapsedNs int64  `msg:"Ago"`
}

// ZoneRevision is how often a zone was emptied or taken back in all.
type ZoneRevision struct {
	Zone  ids.Zone
	Count uint64
}

// RoleChange says that a worker is about to take another role, or, with Done, that the role change
// is over, however it went.
type RoleChange struct {
	Worker ids.WorkerID
	To     ids.Role
	Done   bool
}

// DutyRound asks for the right to one act of a duty: the act of a number for a subject, with
// its content. The first round for an act fixes the content. Number 0 stands for the act after
// the newest. Done says that the act was accepted outside, and brings no content.
type DutyRound struct {
	Subject string
	Number  uint64
	Owner   ids.NodeID
	Fence   ids.Fence
	Content []byte
	Done    bool
}

// DutyRoundReply is the act as it stands.
type DutyRoundReply struct {
	Act DutyAct
}

// DutyAct is one act of a subject. Content is dropped once it is done.
type DutyAct struct {
	Number  uint64
	Content []byte
	Done    bool
}

// DutySubject is what is kept of a subject: who won a round for it last, the newest acts in the
// order of their numbers, and the number up to which acts are not kept any more.
type DutySubject struct {
	Name      string
	Owner     ids.NodeID
	Fence     ids.Fence
	Forgotten uint64
	Acts      []DutyAct
}

// Fates of an idempotency record. Once it is not Claimed any more it never changes.
const (
	OutcomeClaimed    = "claimed"
	OutcomeDone       = "done"
	OutcomeNotRun     = "notrun"
	OutcomeMayHaveRun = "unknown"
)

// IdempotencyRecord is one ruling or verdict by its caller's key. It runs at no other worker, and
// in no other life of that one, than it names.
type IdempotencyRecord struct {
	Key         string
	Owner       ids.NodeID
	Worker      ids.WorkerID
	Incarnation ids.Incarnation `msg:"Life"`
	Digest      string
	Outcome     string `msg:"Fate"`
	Answer      []byte `msg:"Out"`
	// Aged: only the outcome is known any more, and the digest if it is the asker's.
	Aged bool
}

// Claim takes a key for a node, to run at a worker in its present life; the answer says whether it is fresh, and the
// idempotency record as it stands.
type Claim struct {
	Key         string
	Owner       ids.NodeID
	Worker      ids.WorkerID
	Incarnation ids.Incarnation `msg:"Life"`
	Digest      string
}

// ClaimReply is the record as it stands; Fresh tells that this claim made it.
type ClaimReply struct {
	Fresh  bool
	Record IdempotencyRecord `msg:"Deed"`
}

// AssignWorker has an open claim run elsewhere, before it is resumed there.
type AssignWorker struct {
	Key         string
	Owner       ids.NodeID
	Worker      ids.WorkerID
	Incarnation ids.Incarnation `msg:"Life"`
}

// Resolve records the one outcome, and of governed work its audit record.
type Resolve struct {
	Key     string
	Owner   ids.NodeID
	Outcome string `msg:"Fate"`
	Answer  []byte `msg:"Out"`
	Audit   []byte `msg:"Audit,omitempty"`
}

// TakeOver passes a dead node's claim to the holder of the settling duty.
type TakeOver struct {
	Key   string
	From  ids.NodeID
	To    ids.NodeID
	Fence ids.Fence
}

// Revoke ends a certificate for good. A node holds to it from when it has folded it.
type Revoke struct {
	Serial string
}

// ConfirmRevocation notes that a revocation is in force everywhere: every node has folded it, or
// its lease, and with it its word for governed work, has run out.
type ConfirmRevocation struct {
	Serial string
}

// Revocation as snapshots hold it; Confirmed once it is in force everywhere.
type Revocation struct {
	Serial    string
	Confirmed bool `msg:"Sure"`
}

// AdvanceClock moves the fleet's time on; it never goes back. At is in nanoseconds since 1970,
// and no answer of the primary goes beyond the newest one.
type AdvanceClock struct {
	Bound int64 `msg:"At"`
}

// AppendAudit adds a record to the chain.
type AppendAudit struct {
	Record []byte
}

// AuditQuery reads so many rows from a number on.
type AuditQuery struct {
	From  int
	Limit int `msg:"Most"`
}

// AuditQueryReply has the rows' lines, the number of the first row that is kept, how many
// there ever were, and the newest row's hash.
type AuditQueryReply struct {
	FirstIndex int    `msg:"First"`
	RowCount   int    `msg:"Count"`
	LastHash   string `msg:"Head"`
	Lines      [][]byte
}

// EncodedState is the state in a snapshot, or the part of it that watchers see.
type EncodedState struct {
	Active         VersionedText
	Prepared       []VersionedText `msg:"Staged"`
	EvacuatedZones []string        `msg:"Zones"`
	DrainedWorkers []string        `msg:"Drained"`
	RoleChanges    []RoleChange    `msg:"Turning"`
	// Zones taken back of late, and how many times one ever was.
	Failbacks       []Failback
	FailbackCount   uint64              `msg:"Returns"`
	ResolutionFence ids.Fence           `msg:"Fence"`
	Records         []IdempotencyRecord `msg:"Deeds"`
	// The program set in force, and those that are prepared.
	Programs         VersionedText
	ProgramsPrepared []VersionedText `msg:"ProgramsPending"`
	// AgedRows of the open leaf, and how many idempotency records there are in all.
	AgedRows           []byte `msg:"Rows"`
	RecordCount        int    `msg:"Count"`
	CertificationState `msg:"Governed"`
	RevisionHistory    `msg:"OrderMemory"`
	Duties             []DutySubject `msg:"Duties,omitempty"`
}

// CertificationState is empty without regimes.
type CertificationState struct {
	// Certificates that were revoked, and the fleet's time.
	Revoked []Revocation `msg:"Revoked,omitempty"`
	Time    int64        `msg:"Time,omitempty"`
	// The open leaf of the audit record, how many rows there were, the newest one's hash.
	AuditRows  [][]byte `msg:"Audits,omitempty"`
	AuditCount int      `msg:"AuditCount,omitempty"`
	AuditHead  string   `msg:"AuditHead,omitempty"`
}

// RevisionHistory is the part of the image that tells late and repeated orders from new ones.
// Images of earlier releases lack it.
type RevisionHistory struct {
	ZoneRevisions      []ZoneRevision `msg:"ZoneRevisions,omitempty"`
	Superseded         []ids.Version  `msg:"Superseded,omitempty"`
	SupersededPrograms []ids.Version  `msg:"SupersededPrograms,omitempty"`
}
