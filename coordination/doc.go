// Package coordination implements a replicated state machine for a small control plane, with leases,
// singleton roles under fencing tokens, and a change feed. It does not depend on routers;
// docs/embed.md describes the guarantees for embedders.
//
// # Use
//
// A Core runs on each machine with a disk. With a fault tolerance of n, one core is the primary, n
// are its backups, n are voters without data (witnesses), and the rest are spares. An Agent runs on
// each node: it holds the node's lease, follows the change feed and knows which keys the node owns.
// Embedders supply a StateMachine to cores and a Watcher to agents.
//
// # How it works
//
// Registers on 2n+1 voters decide a Record (epoch, primary, backups, voters) in two rounds, prepare
// and accept, as in Paxos; no data is voted on (register.go, election.go). The primary applies a
// batch of commands, syncs it to its own disk and its backups' disks in parallel, and only then
// answers (leader.go). Voters are replaced one at a time by joint consensus (membership.go). Log,
// snapshot and chunks are written to disk before anything that refers to them (store.go, chunks.go).
// Leases and keys are in lease.go and agent.go, the change feed in feed.go and watch.go, and the
// discovery of other processes in directory.go.
//
// # Invariants
//
//   - An acknowledged command is on the disks of the primary and all its backups, and in every later
//     state. An operation id has one outcome.
//   - Any two elections share a voter: each needs a majority of the voters, and of the outgoing voters
//     while a change of voters is not known to be decided. An epoch is promised to one proposer.
//   - Every backup that a record names holds the data.
//   - A deposed primary acknowledges no command, extends no lease and rejects no command.
//   - A key has one owner at a time; its fencing token only increases.
//
// # Source
//
// Voting on a record but not on the data is similar to Vertical Paxos (Lamport, Malkhi, Zhou); voters
// change by joint consensus as in Raft (Ongaro, Ousterhout). docs/design.md explains the choice of
// two synced copies instead of a replicated log.
package coordination
