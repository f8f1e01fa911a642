package sharing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestWindow guards against a rate that one burst uses up for good, and against one that counts the jobs beyond it.
func TestWindow(t *testing.T) {
	w := Window{Length: 5 * time.Second}
	admitted := 0
	for at := time.Duration(0); at < 20*time.Second; at += 20 * time.Millisecond {
		if w.Admit(at, 10) {
			admitted++
		}
	}
	require.Equal(t, 40, admitted)
}

// TestWindowProperties guards against a window that admits more than its limit or refuses a job although it has admitted fewer.
func TestWindowProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = time.Second
		w := Window{Length: length}
		limit := rapid.IntRange(0, 20).Draw(t, "limit")
		var admitted []time.Duration
		at := time.Duration(0)
		for range rapid.IntRange(0, 200).Draw(t, "jobs") {
			at += time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond
			recent := 0
			for _, earlier := range admitted {
				if earlier > at-length {
					recent++
				}
			}
			require.Equal(t, recent < limit, w.Admit(at, limit))
			if recent < limit {
				admitted = append(admitted, at)
			}
		}
	})
}
