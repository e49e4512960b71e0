// Package requestbody holds the bodies of requests in memory while they may be sent to a worker.
//
// A node reads a body once and may send it several times: to a prefill worker, to a decode worker, and to
// another worker after a failure. A Body is therefore kept until its owner calls Release, which it does as soon
// as no further attempt can need it, not when the response ends: a response may take far longer than the
// attempts, and the bodies of all requests whose responses are running would fill the process's memory.
//
// The bodies of a node share one Memory with a limit. If a new body does not fit, Memory first evicts bodies that
// have been sent completely and that only a retry would need, those that were sent first before others. If that
// is not enough, the new body waits, and it is given up with ErrFull if its turn does not come in time, or at once if
// too many bytes wait already. So an overloaded node loses the possibility of retries first, and refuses new requests
// only after that.
//
// Invariants:
//   - The bytes held never exceed the limit. Only a single body that is larger than the limit may, alone.
//   - A Reader that is open when its body is released keeps the bytes until it is closed, so that a request is
//     never sent with only a part of its body. A body with an open reader is not evicted.
//   - New bodies that wait have no more bytes together than twice the limit, except a single one. These bytes may have
//     arrived and fill the receive buffers of connections, so a process needs memory for three times the limit.
//   - Memory counts the bytes of a body from before they are allocated until nothing refers to them.
//   - Bodies that are not small leave an eighth of the limit to small ones, which do not queue behind them. Those of
//     unknown length leave a half of that to ones of known length.
//   - While a reservation waits, no body being read is behind an even pace to its timeout by more than an eighth of
//     it, and none has been silent for longer than that, if the memory of those that are would be enough: they are given
//     up with ErrTooSlow. So a client holds memory for longer only in proportion to what it has sent, and while it sends.
package requestbody
