// The message by which nodes warn each other of a worker that fell silent.

package proxy

import "keelstair.example/ids"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file alarm_note.go
//msgp:shim ids.WorkerID as:string using:string/ids.WorkerID

// Alarm names a worker that the sender got no answer from.
type Alarm struct {
	Worker ids.WorkerID
}

// Heard answers it.
type Heard struct{}
