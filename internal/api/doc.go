// Package api implements the public interface of a router node, which is HTTP/1.1 with JSON. Clients send
// requests and read streams of tokens; operators read and change the fleet's configuration. No other package
// depends on the encoding of this interface.
//
// The package decodes and validates requests and encodes responses. The interfaces Server and Operator
// execute them. It also contains the clients of the interface: Send for operators' programs, and Forward, with
// which a node forwards a request to another node.
package api
