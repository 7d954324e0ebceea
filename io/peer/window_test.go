package peer

import (
	"testing"

	"pgregory.net/rapid"
)

// TestWindow compares the replay window with a model, the set of all accepted counters.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var replayWindow replayWindow
		accepted := make(map[uint64]bool)
		greatest := uint64(0)
		for range 300 {
			step := rapid.Int64Range(-3*_windowBits, 3*_windowBits).Draw(t, "step")
			counter := uint64(max(0, int64(greatest)+step/rapid.SampledFrom([]int64{1, 50, 1000}).Draw(t, "scale")))
			dropReason := replayWindow.check(counter)
			recent := counter > greatest || greatest-counter < _windowBits-_wordBits
			if want := counter > 0 && recent && !accepted[counter]; (dropReason == 0) != want {
				t.Fatalf("counter %d after %d: got %s, want accepted: %t", counter, greatest, dropReason, want)
			}
			if dropReason == 0 {
				replayWindow.add(counter)
				accepted[counter] = true
				greatest = max(greatest, counter)
			}
		}
	})
}
