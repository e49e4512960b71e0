// This file defines the commands of the replicated log, their replies, and the encoded state. Their
// MessagePack forms and the command kinds are part of the protocol between releases: a renamed
// field keeps its encoded name by a msg tag, and a new field is omitted while it is empty.

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

// Command kinds of the audit log. AuditQueryKind reads and is not written to the log.
const (
	AppendAuditKind = "lore.audit"
	AuditQueryKind  = "lore.audits"
)

// Command kinds of revocations and of the fleet's time.
const (
	RevokeKind            = "lore.revoke"
	ConfirmRevocationKind = "lore.seal"
	AdvanceClockKind      = "lore.clock"
)

// Command kinds of the configuration, of zones and workers, and of idempotency records.
const (
	PrepareKind      = "lore.stage"
	CommitKind       = "lore.activate"
	EvacuateKind     = "lore.vacate"
	DrainKind        = "lore.drain"
	ClaimKind        = "lore.claim"
	ResolveKind      = "lore.settle"
	TakeOverKind     = "lore.seize"
	AssignWorkerKind = "lore.bind"
	// QueryKind changes nothing and is always refused. Submitted under the id of an earlier
	// operation, it returns the remembered outcome of that operation, if there is one.
	QueryKind = "lore.ask"
)

// Command kinds of program sets.
const (
	PrepareProgramsKind = "lore.programs.stage"
	CommitProgramsKind  = "lore.programs.activate"
)

// SlowStartEndedKind is the command kind of SlowStartEnded.
const SlowStartEndedKind = "lore.warmed"

// RoleChangeKind is the command kind of RoleChange.
const RoleChangeKind = "lore.turn"

// DutyRoundKind is the command kind of DutyRound.
const DutyRoundKind = "lore.duty"

// PrepareVersion adds a complete, checked configuration that was derived from the version Base.
// Next is the number that the new version gets; 0 stands for the one after Base. If Delta is set,
// Text is an encoded Delta from the text of Base.
type PrepareVersion struct {
	Base  ids.Version
	Text  []byte
	Next  ids.Version
	Delta bool
}

// CommitVersion makes a prepared version the active one.
type CommitVersion struct {
	Version ids.Version
}

// VersionedText is a version of a configuration or a program set with its text.
type VersionedText struct {
	Version ids.Version
	Text    []byte
}

// VersionReply is the reply to the commands that change the configuration, zones or workers. It
// has the version that the command prepared, or else the newest one.
type VersionReply struct {
	Version ids.Version
}

// Delta describes a text by its differences from the previous one. Size and Checksum are those of
// the new text.
type Delta struct {
	Size     int
	Checksum []byte `msg:"Sum"`
	Hunks    []Hunk
}

// Hunk is a copied range of the previous text, followed by new text.
type Hunk struct {
	From, Len int
	Text      []byte
}

// OutcomeQuery is the body of a QueryKind command: the version that the operation was based on,
// and whether it was a version of the program sets rather than of the configuration.
type OutcomeQuery struct {
	Base     ids.Version
	Programs bool
}

// Evacuate evacuates a zone or, if Evacuated is false, fails back to it. If Compare is set, the
// command is refused as stale unless the zone's revision is BaseRevision; otherwise a repetition is
// recognized only by its operation id.
type Evacuate struct {
	Zone         ids.Zone
	Evacuated    bool `msg:"Out"`
	Compare      bool
	BaseRevision uint64 `msg:"Base"`
}

// Drain stops new work for a worker or, if Drained is false, allows it again.
type Drain struct {
	Worker  ids.WorkerID
	Drained bool `msg:"Out"`
}

// SlowStartEnded records that the workers of a failed-back zone are warm. Number is that of the
// failback.
type SlowStartEnded struct {
	Zone   ids.Zone
	Number uint64 `msg:"No"`
}

// Failback is a zone that serves again after an evacuation. Number counts the failbacks of all
// zones. ElapsedNs is a lower bound of the time since the failback: the primary measures it with its
// own clock, and a new primary starts from the value in the snapshot that it restored, or from 0.
type Failback struct {
	Zone      ids.Zone
	Number    uint64 `msg:"No"`
	ElapsedNs int64  `msg:"Ago"`
}

// ZoneRevision counts how often a zone was evacuated or failed back.
type ZoneRevision struct {
	Zone  ids.Zone
	Count uint64
}

// RoleChange records that a worker is about to change its role to To or, if Done is set, that the
// role change has ended, whether or not it succeeded.
type RoleChange struct {
	Worker ids.WorkerID
	To     ids.Role
	Done   bool
}

// DutyRound asks for permission to perform one action of a duty, which is identified by its subject
// and number. The first request for an action fixes its content. Number 0 means the action after the
// newest recorded one. A request with Done set reports that the external system accepted the action;
// it has no content.
type DutyRound struct {
	Subject string
	Number  uint64
	Owner   ids.NodeID
	Fence   ids.Fence
	Content []byte
	Done    bool
}

// DutyRoundReply is the reply to DutyRound: the current state of the action.
type DutyRoundReply struct {
	Action DutyAction `msg:"Act"`
}

// DutyAction is one action of a subject. Its content is dropped once it is done.
type DutyAction struct {
	Number  uint64
	Content []byte
	Done    bool
}

// DutySubject is the state of a subject: the owner and fencing token of the last accepted DutyRound,
// and the newest actions in the order of their numbers. Actions up to the number LastDropped were
// dropped.
type DutySubject struct {
	Name        string
	Owner       ids.NodeID
	Fence       ids.Fence
	LastDropped uint64       `msg:"Forgotten"`
	Actions     []DutyAction `msg:"Acts"`
}

// Outcomes of an idempotency record. Only OutcomeClaimed can change to another one.
const (
	OutcomeClaimed    = "claimed"
	OutcomeDone       = "done"
	OutcomeNotRun     = "notrun"
	OutcomeMayHaveRun = "unknown"
)

// IdempotencyRecord is the record of one request by its idempotency key. The request runs only at
// the named worker, and only in the named incarnation of it.
type IdempotencyRecord struct {
	Key         string
	Owner       ids.NodeID
	Worker      ids.WorkerID
	Incarnation ids.Incarnation `msg:"Life"`
	Digest      string
	Outcome     string `msg:"Fate"`
	Answer      []byte `msg:"Out"`
	// AnswerExpired is set on an old record of which only the outcome and a part of the digest were
	// kept. Digest is then set only if that part matches the digest of the request.
	AnswerExpired bool `msg:"Aged"`
}

// Claim claims an idempotency key for a node, whose request is to run at the worker's current
// incarnation. Its reply is a ClaimReply.
type Claim struct {
	Key         string
	Owner       ids.NodeID
	Worker      ids.WorkerID
	Incarnation ids.Incarnation `msg:"Life"`
	Digest      string
}

// ClaimReply is the current record of the key. Fresh is set if this claim created it.
type ClaimReply struct {
	Fresh  bool
	Record IdempotencyRecord `msg:"Deed"`
}

// AssignWorker moves an open claim to another worker before the request resumes there.
type AssignWorker struct {
	Key         string
	Owner       ids.NodeID
	Worker      ids.WorkerID
	Incarnation ids.Incarnation `msg:"Life"`
}

// Resolve records the final outcome of a claim and, if a regime governs the request, its audit
// record.
type Resolve struct {
	Key     string
	Owner   ids.NodeID
	Outcome string `msg:"Fate"`
	Answer  []byte `msg:"Out"`
	Audit   []byte `msg:"Audit,omitempty"`
}

// TakeOver transfers a dead node's claim to the holder of the duty ClaimResolutionKey.
type TakeOver struct {
	Key   string
	From  ids.NodeID
	To    ids.NodeID
	Fence ids.Fence
}

// Revoke revokes a certificate permanently. A node enforces it once it has applied this command.
type Revoke struct {
	Serial string
}

// ConfirmRevocation records that every node enforces a revocation: each has applied it, or has lost
// its lease and with it the right to handle requests under a regime.
type ConfirmRevocation struct {
	Serial string
}

// Revocation is a revoked certificate in a snapshot. Confirmed is set once every node enforces it.
type Revocation struct {
	Serial    string
	Confirmed bool `msg:"Sure"`
}

// AdvanceClock raises the upper bound of the fleet's time, which never goes back. Bound is in
// nanoseconds since 1970. The primary reports no time beyond the newest bound.
type AdvanceClock struct {
	Bound int64 `msg:"At"`
}

// AppendAudit appends a record to the audit log.
type AppendAudit struct {
	Record []byte
}

// AuditQuery reads up to Limit audit rows, beginning with the index From.
type AuditQuery struct {
	From  int
	Limit int `msg:"Most"`
}

// AuditQueryReply has the rows as JSON, the index of the oldest row that is kept, the number of
// rows ever written, and the newest row's hash.
type AuditQueryReply struct {
	FirstIndex int    `msg:"First"`
	RowCount   int    `msg:"Count"`
	LastHash   string `msg:"Head"`
	Lines      [][]byte
}

// EncodedState is the state in a snapshot, or the part of it that is sent to watchers.
type EncodedState struct {
	Active         VersionedText
	Prepared       []VersionedText `msg:"Staged"`
	EvacuatedZones []string        `msg:"Zones"`
	DrainedWorkers []string        `msg:"Drained"`
	RoleChanges    []RoleChange    `msg:"Turning"`
	// Failbacks are the zones that are in slow start after their evacuation ended; FailbackCount is
	// the total number of failbacks so far.
	Failbacks       []Failback
	FailbackCount   uint64              `msg:"Returns"`
	ResolutionFence ids.Fence           `msg:"Fence"`
	Records         []IdempotencyRecord `msg:"Deeds"`
	// Programs is the active program set. ProgramsPrepared contains the newer program sets that are
	// not active yet, oldest first.
	Programs         VersionedText
	ProgramsPrepared []VersionedText `msg:"ProgramsPending"`
	// AgedRows are the rows of aged keys that are not sealed in a chunk yet; RecordCount is
	// the total number of idempotency records created so far.
	AgedRows           []byte `msg:"Rows"`
	RecordCount        int    `msg:"Count"`
	CertificationState `msg:"Governed"`
	RevisionHistory    `msg:"OrderMemory"`
	Duties             []DutySubject `msg:"Duties,omitempty"`
}

// CertificationState is the part of EncodedState for regimes. It is empty without them.
type CertificationState struct {
	// Revoked are the revoked certificates; Time is the upper bound of the fleet's time.
	Revoked []Revocation `msg:"Revoked,omitempty"`
	Time    int64        `msg:"Time,omitempty"`
	// AuditRows are the audit rows that are not sealed in a chunk yet, AuditCount is the number
	// of rows ever written, and AuditHead the newest row's hash.
	AuditRows  [][]byte `msg:"Audits,omitempty"`
	AuditCount int      `msg:"AuditCount,omitempty"`
	AuditHead  string   `msg:"AuditHead,omitempty"`
}

// RevisionHistory is the part of EncodedState by which late and repeated commands are distinguished
// from new ones.
// Snapshots of earlier releases lack it.
type RevisionHistory struct {
	ZoneRevisions      []ZoneRevision `msg:"ZoneRevisions,omitempty"`
	Superseded         []ids.Version  `msg:"Superseded,omitempty"`
	SupersededPrograms []ids.Version  `msg:"SupersededPrograms,omitempty"`
}
