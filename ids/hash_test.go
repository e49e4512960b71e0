package ids

import "testing"

// TestHash compares results of Hash and Mix with fixed values, because nodes of all versions must
// compute the same results.
func TestHash(t *testing.T) {
	for s, want := range map[string]uint64{
		"":       14695981039346656037,
		"a":      0xaf63dc4c8601ec8c,
		"foobar": 0x85944171f73967e8,
	} {
		if got := Hash(s); got != want {
			t.Errorf("Hash(%q) = %x, want %x", s, got, want)
		}
	}
	if got := Mix(1); got != 0xb456bcfc34c2cb2c {
		t.Errorf("Mix(1) = %x", got)
	}
}
