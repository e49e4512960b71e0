// The body of a request is kept while the request may be sent to another worker, and no longer.

package proxy

import (
	"io"

	"keelstair.example/internal/requestbody"
)

// ReadBody reads the body of a request of the given length, or up to the end of src if the length is negative.
// The caller releases the body when it has served the request.
func (n *Node) ReadBody(src io.Reader, length int64) (*requestbody.Body, error) {
	return n.bodies.Read(src, length)
}

// BodyBytes returns the number of bytes of request bodies that the node holds in memory.
func (n *Node) BodyBytes() int64 { return n.bodies.Held() }

// releaseBodyIfUnneeded releases the body once a worker is answering and no other worker may be sent the request.
// The response may run for much longer than the attempts, and would keep the body until its end.
func (t *exchange) releaseBodyIfUnneeded() {
	if !t.mayRetryDecode() || t.headSent && !t.route.Resumable {
		t.request.Body.Release()
	}
}
