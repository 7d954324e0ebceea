package caller

import (
	"context"
	"encoding/binary"
	"errors"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/rotisserie/eris"

	"azureshift/io/coap"
)

// ErrBlockRefused is returned when the service answers a block request with anything but Content.
var ErrBlockRefused = errors.New("block refused")

const (
	_blockSZX         = 5 // size exponent of RFC 7959: 2^(5+4) bytes
	_blockMoreFlag    = 1 << 3
	_blockNumberShift = 4
	_maxBlocks        = 1 << 16
)

// Export fetches all blocks of an export (RFC 7959).
func (caller *Caller) Export(ctx context.Context) ([]byte, error) {
	var content []byte
	for number := uint32(0); number < _maxBlocks; number++ {
		answer, err := caller.exchange(ctx, caller.blockRequest(number))
		if err != nil {
			return nil, err
		}
		if answer.Code != codes.Content {
			return nil, eris.Wrapf(ErrBlockRefused, "block %d answered %s", number, answer.Code)
		}
		content = append(content, answer.Payload...)
		block, err := answer.Options.GetUint32(message.Block2)
		if err != nil {
			return nil, eris.Wrapf(err, "read block option of block %d", number)
		}
		if block&_blockMoreFlag == 0 {
			return content, nil
		}
	}
	return nil, eris.New("export has too many blocks")
}

func (caller *Caller) blockRequest(number uint32) coap.Message {
	option := binary.BigEndian.AppendUint32(nil, number<<_blockNumberShift|_blockSZX)[1:]
	options := append(caller.uriPath(), message.Option{ID: message.Block2, Value: option})
	return coap.Message{Code: codes.GET, Options: options}
}
