package peer

const (
	_windowBits = 2048
	_wordBits   = 64
)

// replayWindow records the accepted counters of one sender as in RFC 6479: a ring bitmap of the counters up to the
// greatest one accepted. Counters start at 1.
type replayWindow struct {
	greatest uint64
	bits     [_windowBits / _wordBits]uint64
}

// check returns the reason for rejecting counter, or 0 if it can be accepted.
func (replayWindow *replayWindow) check(counter uint64) DropReason {
	switch {
	case counter == 0:
		return DropReplayed
	case counter > replayWindow.greatest:
		return 0
	case replayWindow.greatest-counter >= _windowBits-_wordBits:
		return DropTooOld
	case replayWindow.bits[wordIndex(counter)]&bitMask(counter) != 0:
		return DropReplayed
	default:
		return 0
	}
}

// add marks counter as accepted. It must have passed check.
func (replayWindow *replayWindow) add(counter uint64) {
	if counter > replayWindow.greatest {
		replayWindow.advance(counter)
	}
	replayWindow.bits[wordIndex(counter)] |= bitMask(counter)
}

// advance makes counter the greatest and clears the words between the former greatest and counter.
func (replayWindow *replayWindow) advance(counter uint64) {
	words := uint64(len(replayWindow.bits))
	from, to := replayWindow.greatest/_wordBits, counter/_wordBits
	steps := min(to-from, words)
	for step := uint64(1); step <= steps; step++ {
		replayWindow.bits[(from+step)%words] = 0
	}
	replayWindow.greatest = counter
}

func wordIndex(counter uint64) uint64 {
	return counter / _wordBits % (_windowBits / _wordBits)
}

func bitMask(counter uint64) uint64 {
	return 1 << (counter % _wordBits)
}
