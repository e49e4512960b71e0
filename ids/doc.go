// Package ids defines small types that all components of keelstair share: identifiers,
// versions, fencing tokens and times, and hash functions with the same results on every machine.
//
// Each is a distinct type, so that the compiler rejects an epoch where a fencing token is
// expected, or a wall time where a tick is expected.
package ids
