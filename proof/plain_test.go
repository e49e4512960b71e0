// A day on which nothing breaks.

package proof

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/guise"
)

// TestPlainDay: with nothing broken, every call completes, token for token, at
// both sites.
func TestPlainDay(t *testing.T) {
	unraced(t)
	for name, site := range guise.Sites {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := Build(1, site, nil)
				defer c.Close()
				require.NoError(t, c.Found())
				all := c.Load(20, 10*time.Second, 1)
				sum := guise.Sum(all)
				require.Equal(t, len(all), sum.Ends["complete"], "%+v", sum)
				require.Empty(t, c.Book.Check(all))
				t.Logf("%+v", sum)
			})
		})
	}
}
