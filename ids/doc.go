// Package ids holds the small types that all planes of keelstair share: identifiers,
// versions, fencing tokens and times, and hashes that are equal on every machine.
//
// Each is a type of its own, so that an epoch is never taken for a fence nor a wall time
// for a tick.
package ids
