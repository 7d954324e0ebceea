package backend

import (
	"encoding/binary"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"azureshift/io/coap"
)

const (
	_blockSize        = 512
	_blockSZX         = 5 // size exponent of RFC 7959: 2^(5+4) bytes
	_blockMoreFlag    = 1 << 3
	_blockNumberShift = 4
	_alphabetSize     = 26
)

// exportAnswer returns an answer with the block that the request asks for (RFC 7959).
func exportAnswer(request coap.Message, blocks int) coap.Message {
	block, err := request.Options.GetUint32(message.Block2)
	if err != nil {
		block = _blockSZX
	}
	number := int(block >> _blockNumberShift)
	if number >= blocks {
		return newReply(request, codes.BadOption)
	}
	option := uint32(number)<<_blockNumberShift | _blockSZX
	if number < blocks-1 {
		option |= _blockMoreFlag
	}
	answer := newReply(request, codes.Content)
	answer.Options = message.Options{{ID: message.Block2, Value: binary.BigEndian.AppendUint32(nil, option)[1:]}}
	answer.Payload = exportBlock(number)
	return answer
}

// ExportBytes returns the content of an export of the given number of blocks.
func ExportBytes(blocks int) []byte {
	content := make([]byte, 0, blocks*_blockSize)
	for number := range blocks {
		content = append(content, exportBlock(number)...)
	}
	return content
}

func exportBlock(number int) []byte {
	block := make([]byte, _blockSize)
	for index := range block {
		block[index] = byte('a' + (number+index)%_alphabetSize)
	}
	return block
}
