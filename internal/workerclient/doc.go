// Package workerclient is the client of the workers' and the platform's public interface, which is HTTP/1.1 with
// JSON. No other package depends on that interface, so a different one requires changes here only.
//
// Every order to a worker carries the fencing token of its sender (see OrderHeader). Orders are POST requests and
// are not sent again once a byte of them has been written; reports, lists and streams are GET requests, which
// net/http may send again on a new connection. An error has a kind of package failure, which states whether the
// order may have been executed.
package workerclient
