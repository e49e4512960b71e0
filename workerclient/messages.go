// Package workerclient is the one place that knows how workers and the platform speak:
// HTTP/1.1 with JSON. A published interface that differs is met here alone.
// This file is the vocabulary.
package workerclient

import (
	"slices"

	"keelstair.example/ids"
)

// Id names one try at moving one request.
type Id struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
}

// Params are the sampling params; they travel whole, the seed too.
type Params struct {
	MaxTokens   int     `json:"maxTokens"`
	Temperature float64 `json:"temperature,omitempty"`
	Seed        uint64  `json:"seed,omitempty"`
}

// Model says on what a request may run; all three must be the same wherever it
// continues.
type Model struct {
	Name     string   `json:"model"`
	Weights  string   `json:"weights"`
	Adapters []string `json:"adapters,omitempty"`
}

// Offers tells whether a worker set up as m can run what asks for o: the same
// model and weights, and every adapter asked for.
func (m Model) Offers(o Model) bool {
	for _, a := range o.Adapters {
		if !slices.Contains(m.Adapters, a) {
			return false
		}
	}
	return m.Name == o.Name && m.Weights == o.Weights
}

// Identity is all that a request is, wherever it goes. Block ids never travel.
type Identity struct {
	Id       Id      `json:"id"`
	Prompt   []int32 `json:"prompt"`
	Output   []int32 `json:"output"`
	Computed int     `json:"numComputedTokens"`
	Params   Params  `json:"params"`
	Model    Model   `json:"on"`
	Length   int64   `json:"kvLength"`
	Digest   string  `json:"kvDigest"`
}

// Lead stands before every order: the fence it is given under and the newest
// configuration that its giver knows.
type Lead struct {
	Fence   ids.Fence   `json:"fence"`
	Version ids.Version `json:"version"`
}

type PrefillAsk struct {
	Lead
	Identity Identity `json:"identity"`
}

type ExportAsk struct {
	Lead
	Id Id `json:"id"`
}

type ImportAsk struct {
	Lead
	Identity Identity `json:"identity"`
	Source   string   `json:"source"`
}

type IdAsk struct {
	Lead
	Id Id `json:"id"`
}

type PartAsk struct {
	Lead
	Part ids.Part `json:"part"`
}

// Answer is what every order gets back. Texts are those of the output. Life is another one after every start
// of the worker, so that a fresh process is not taken for one that remembers.
type Answer struct {
	Version  ids.Version `json:"version"`
	Identity *Identity   `json:"identity,omitempty"`
	Fate     string      `json:"fate,omitempty"`
	Output   []int32     `json:"output,omitempty"`
	Texts    []string    `json:"texts,omitempty"`
	Done     bool        `json:"done,omitempty"`
	Life     ids.Life    `json:"life"`
}

// Fates of a hand-over as its worker knows them.
const (
	FateNever    = "never"    // never came to run here, and never will
	FateStopped  = "stopped"  // ran in part, and was stopped
	FateFinished = "finished" // ran to its end
	FateRunning  = "running"
)

// Running is one request on a worker: blocks it holds and blocks it may yet
// grow by.
type Running struct {
	Id     Id  `json:"id"`
	Blocks int `json:"blocks"`
	Room   int `json:"room"`
}

// Report is the late picture that a worker gives of itself.
type Report struct {
	Part     ids.Part    `json:"part"`
	Model    Model       `json:"on"`
	Used     int         `json:"cacheUsed"`
	Capacity int         `json:"cacheCapacity"`
	Block    int         `json:"blockSize"`
	Queue    int         `json:"queue"`
	Version  ids.Version `json:"version"`
	Running  []Running   `json:"running"`
	Life     ids.Life    `json:"life"`
}

// Piece is one line of a worker's stream.
type Piece struct {
	Index int    `json:"index"`
	Token int32  `json:"token"`
	Text  string `json:"text,omitempty"`
	End   string `json:"end,omitempty"`
	Count int    `json:"count,omitempty"`
}

// Listed is one worker on the platform's list.
type Listed struct {
	Id      ids.WorkerId `json:"id"`
	Addr    string       `json:"addr"`
	Zone    ids.Zone     `json:"zone"`
	Leaving bool         `json:"leaving,omitempty"`
}
