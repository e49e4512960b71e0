// The messages of the feed: news from a place on, or a picture to start from.

package crux

import "keelstair.example/word"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file news_note.go
//msgp:shim word.Seq as:uint64 using:uint64/word.Seq

type NewsAsk struct {
	From word.Seq
	Wait int64
}

type NewsReply struct {
	Seq     word.Seq
	Picture []byte
	Entries []Entry
}
