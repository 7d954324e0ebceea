package fleet

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"azureshift/core/packet"
)

// wireLoad is the compact encoding of a Load: its fields in the order of the constants below. Loads make up most of the
// traffic between instances, and comparing servers by load needs no finer resolution than a hundredth of a request and
// a millisecond. The last fields are omitted if they are zero, and additional fields, as later versions may send, are
// ignored.
type wireLoad []uint32

// Indexes of the fields of a wireLoad.
const (
	_wireCookie = iota
	_wireBusyHundredths
	_wireLatencyMillis
	_wireAnswers
	_wireRefused
	_wireHeld
	_wireUsualMillis
)

const (
	_hundredthsPerRequest = 100
	// _maxBusy is the greatest number of requests in progress that is encoded.
	_maxBusy = 1e6
	// _maxTwoBytes is the greatest number of held flows, and of milliseconds of the usual latency, that is encoded. Each
	// takes up to three bytes then.
	_maxTwoBytes = math.MaxUint16
)

var (
	_ cbor.Marshaler   = Load{}
	_ cbor.Unmarshaler = (*Load)(nil)
)

// MarshalCBOR implements cbor.Marshaler.
func (load Load) MarshalCBOR() ([]byte, error) {
	busy := min(max(float64(load.InProgress), 0), _maxBusy)
	fields := wireLoad{
		_wireCookie:         uint32(load.Cookie),
		_wireBusyHundredths: uint32(math.Round(busy * _hundredthsPerRequest)),
		_wireLatencyMillis:  uint32(min(max(load.Latency.Round(time.Millisecond).Milliseconds(), 0), math.MaxUint32)),
		_wireAnswers:        clampCount(load.Answers),
		_wireRefused:        clampCount(load.Refused),
		_wireHeld:           min(clampCount(load.Held), _maxTwoBytes),
		_wireUsualMillis:    min(clampCount(int(load.UsualLatency.Round(time.Millisecond).Milliseconds())), _maxTwoBytes),
	}
	for len(fields) > _wireRefused && fields[len(fields)-1] == 0 {
		fields = fields[:len(fields)-1]
	}
	raw, err := cbor.Marshal(fields)
	return raw, eris.Wrap(err, "encode load")
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (load *Load) UnmarshalCBOR(raw []byte) error {
	var fields wireLoad
	if err := cbor.Unmarshal(raw, &fields); err != nil {
		return eris.Wrap(err, "decode load")
	}
	if len(fields) < _wireRefused {
		return eris.Errorf("load has %d fields, fewer than %d", len(fields), _wireRefused)
	}
	*load = Load{
		Cookie:     packet.Cookie(fields[_wireCookie]),
		InProgress: float32(fields[_wireBusyHundredths]) / _hundredthsPerRequest,
		Latency:    time.Duration(fields[_wireLatencyMillis]) * time.Millisecond,
		Answers:    int(min(fields[_wireAnswers], math.MaxInt32)),
	}
	if len(fields) > _wireRefused {
		load.Refused = int(min(fields[_wireRefused], math.MaxInt32))
	}
	if len(fields) > _wireHeld {
		load.Held = int(min(fields[_wireHeld], _maxTwoBytes))
	}
	if len(fields) > _wireUsualMillis {
		load.UsualLatency = time.Duration(min(fields[_wireUsualMillis], _maxTwoBytes)) * time.Millisecond
	}
	return nil
}

func clampCount(count int) uint32 {
	return uint32(min(max(count, 0), math.MaxInt32))
}
