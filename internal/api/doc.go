// Package api is the published interface of a router node: HTTP/1.1 with JSON, for origins,
// which send requests and read streams of tokens, and for operators, who change and read the
// fleet's configuration. It is the only package that knows that interface.
//
// It reads and checks what they send and writes what they get; what is done with it stands
// behind the interfaces Server and Operator. It also holds the clients of that interface: Put
// for operators' programs, and Pass, by which a node forwards a request to another.
package api
