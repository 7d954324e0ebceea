package peer

import (
	"encoding/binary"
	"math"

	"github.com/rotisserie/eris"
)

var errFraming = eris.New("malformed message frame: invalid kind or length, or body past the end of the datagram")

// appendFrame appends a message as a frame: the kind and the body length as varints, then the body.
func appendFrame(buffer []byte, envelope Envelope) []byte {
	buffer = binary.AppendUvarint(buffer, uint64(envelope.Kind))
	buffer = binary.AppendUvarint(buffer, uint64(len(envelope.Body)))
	return append(buffer, envelope.Body...)
}

// cutFrame decodes the first frame of a batch and returns the remaining bytes. The body aliases batch.
func cutFrame(batch []byte) (Envelope, []byte, error) {
	kind, width := binary.Uvarint(batch)
	if width <= 0 || kind > math.MaxUint16 {
		return Envelope{}, nil, errFraming
	}
	batch = batch[width:]
	length, width := binary.Uvarint(batch)
	if width <= 0 || length > uint64(len(batch)-width) {
		return Envelope{}, nil, errFraming
	}
	batch = batch[width:]
	return Envelope{Kind: Kind(kind), Body: batch[:length]}, batch[length:], nil
}
