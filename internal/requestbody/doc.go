// Package requestbody holds the bodies of requests in memory while they may be sent to a worker.
//
// A node reads a body once and may send it several times: to a prefill worker, to a decode worker, and to
// another worker after a failure. A Body is therefore kept until its owner calls Release, which it does as soon
// as no further attempt can need it, not when the response ends: a response may take far longer than the
// attempts, and the bodies of all requests whose responses are running would fill the process's memory.
//
// Invariants:
//   - A Reader that is open when its body is released keeps the bytes until it is closed, so that a request is
//     never sent with only a part of its body.
//   - Memory counts the bytes of a body from before they are allocated until nothing refers to them.
package requestbody
