// Package coordination is a replicated state machine for a small control plane, with what a fleet
// around it needs: leases, singleton roles under fencing tokens, and a change feed. It knows nothing
// of routers; docs/embed.md says what embedders may rely on.
//
// # Use
//
// A Core runs on each machine with a disk: one is the primary, as many as the fault tolerance asks
// are its backups, some are voters without data, the rest are spares. An Agent runs on each node: it
// holds the node's lease, follows the change feed and knows which keys the node owns. Embedders
// bring a StateMachine to cores and a Watcher to agents.
//
// # How it works
//
// Registers on 2n+1 voters decide a Record (epoch, primary, backups, voters) in two rounds, prepare
// and accept, as in Paxos; no data is voted on (register.go, election.go). The primary applies a
// batch of commands, syncs it on its own disk and at its backups side by side, and only then answers
// (leader.go). A voter changes by joint consensus, one at a time (membership.go). Log, snapshot and
// chunks are on disk before anything that counts on them (store.go, chunks.go). Leases and keys are
// in lease.go and agent.go, the change feed in feed.go and watch.go, the search for other processes
// in directory.go.
//
// # Invariants
//
//   - An acknowledged command is on the disks of the primary and all its backups, and in every later
//     state. One operation id has one outcome.
//   - Two elections share a voter: each needs a majority of the voters, and of the outgoing voters
//     while a change of them is not known to be decided. An epoch is promised to one proposer.
//   - A record names no backup without the data.
//   - A deposed primary acknowledges nothing, extends no lease and refuses nothing.
//   - A key has one owner at a time; its fencing token only rises.
//
// # Source
//
// A voted record beside data that is not voted on is akin to Vertical Paxos (Lamport, Malkhi, Zhou);
// the change of voters is joint consensus as in Raft (Ongaro, Ousterhout). Why two synced copies in
// place of a replicated log: docs/design.md.
package coordination
