package fleet

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"azureshift/core/packet"
)

// sentLoad is a Load as it is sent: its fields in the order of the constants below. Loads are most of what instances
// tell each other, and their order depends on no more than a hundredth of a request and a millisecond. What is zero at
// the end is left out, and what is there beyond is left to later versions.
type sentLoad []uint32

// The fields of a sentLoad.
const (
	_sentCookie = iota
	_sentHundredths
	_sentMillis
	_sentAnswers
	_sentRefused
)

const (
	_hundredths = 100
	// _mostBusy bounds what is read of another instance.
	_mostBusy = 1e6
)

var (
	_ cbor.Marshaler   = Load{}
	_ cbor.Unmarshaler = (*Load)(nil)
)

// MarshalCBOR implements cbor.Marshaler.
func (load Load) MarshalCBOR() ([]byte, error) {
	busy := min(max(float64(load.Busy), 0), _mostBusy)
	sent := sentLoad{
		_sentCookie:     uint32(load.Cookie),
		_sentHundredths: uint32(math.Round(busy * _hundredths)),
		_sentMillis:     uint32(min(max(load.Latency.Round(time.Millisecond).Milliseconds(), 0), math.MaxUint32)),
		_sentAnswers:    boundedCount(load.Answers),
		_sentRefused:    boundedCount(load.Refused),
	}
	if load.Refused <= 0 {
		sent = sent[:_sentRefused]
	}
	raw, err := cbor.Marshal(sent)
	return raw, eris.Wrap(err, "encode a load")
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (load *Load) UnmarshalCBOR(raw []byte) error {
	var sent sentLoad
	if err := cbor.Unmarshal(raw, &sent); err != nil {
		return eris.Wrap(err, "decode a load")
	}
	if len(sent) < _sentRefused {
		return eris.Errorf("a load has %d fields, fewer than %d", len(sent), _sentRefused)
	}
	*load = Load{
		Cookie:  packet.Cookie(sent[_sentCookie]),
		Busy:    float32(sent[_sentHundredths]) / _hundredths,
		Latency: time.Duration(sent[_sentMillis]) * time.Millisecond,
		Answers: int(min(sent[_sentAnswers], math.MaxInt32)),
	}
	if len(sent) > _sentRefused {
		load.Refused = int(min(sent[_sentRefused], math.MaxInt32))
	}
	return nil
}

func boundedCount(count int) uint32 {
	return uint32(min(max(count, 0), math.MaxInt32))
}
