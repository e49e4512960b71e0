// Which beats tell that a node is not behind.

package verge

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/crux"
	"keelstair.example/lore"
	"keelstair.example/seam/sham"
	"keelstair.example/tale"
	"keelstair.example/wire"
)

// TestCurrentByAnswers: with the core away, a neighbour that beats by itself may tell of a
// time before a cut and counts for nothing, nor does an answer to what was asked too long
// ago; an answer to a late asking counts, also once a beat came after it, for as long as from its asking.
func TestCurrentByAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		w := sham.NewWorld(1)
		near, at := w.Machine("10.0.0.1").Start(), w.Machine("10.0.0.2").Start()
		defer func() { stop(); near.Kill(); at.Kill(); time.Sleep(10 * time.Second) }()
		b := crux.Member{Node: "b", Addr: "10.0.0.1:1"}
		n := New(Options{Name: "n", Addr: "10.0.0.2:1", Host: at.Host()})
		img := &crux.Image{Seq: 1, Members: []crux.Member{n.me, b, {Node: "c"}}, App: lore.NewView(tale.Mute()).Picture()}
		mux := http.NewServeMux()
		wire.Handle(mux, "crux/news", func(context.Context, *crux.NewsAsk) (*crux.NewsReply, error) {
			return &crux.NewsReply{Seq: 1, Picture: crux.Pack(img)}, nil
		})
		l, err := near.Host().Net.Listen(b.Addr)
		require.NoError(t, err)
		go wire.Serve(ctx, l, mux)
		require.NoError(t, n.agent.Fetch(ctx, b.Addr))
		require.Len(t, n.agent.Members(), 3)
		beat, slow := &Beat{Node: "b"}, 200*time.Millisecond
		wire.Handle(mux, "verge/beat", func(context.Context, *Beat) (*Beat, error) { time.Sleep(slow); return beat, nil })
		hear := func() {
			_, err := n.hearBeat(ctx, beat)
			require.NoError(t, err)
		}

		hear()
		require.False(t, n.current(), "it came by itself")
		n.learn(ctx, b, beat, n.now().Add(-currentSpan-time.Millisecond))
		require.False(t, n.current(), "asked too long ago")
		n.learn(ctx, b, beat, n.now())
		require.True(t, n.current())
		hear()
		require.True(t, n.current(), "the answer still counts")
		time.Sleep(currentSpan + time.Millisecond)
		hear()
		require.False(t, n.current(), "it was asked too long ago by now")
		go n.beats(ctx)
		time.Sleep(n.opt.Beat + slow + 50*time.Millisecond)
		require.True(t, n.current(), "it asks by itself")
		v, _ := n.mates.Load(b.Node)
		require.GreaterOrEqual(t, v.(mate).at.Since(v.(mate).told), slow, "from the asking on, not from the answer")
		n.call.Close()
	})
}
