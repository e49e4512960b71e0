// Package workerclient is the client of the workers' and the platform's published interface:
// HTTP/1.1 with JSON. It is the only package that knows that interface; one that differs is
// met here alone.
//
// Every order to a worker carries the fence of its giver (see OrderHeader). Orders are POST requests
// and aren't repeated once a byte of them has been written; reports, lists and streams are
// GET requests, which net/http may send again on a new connection. An error has a kind of
// package failure, which tells whether the order may have been carried out.
package workerclient
