// Package exchange matches messages from targets to the requests and feeds that they belong to.
package exchange

import (
	"encoding/binary"

	"azureshift/core/id"
)

// TokenSize is the length in bytes of the CoAP tokens in messages to targets.
const TokenSize = 8

const _counterOffset = 4

// Token identifies an exchange with a target: 4 bytes derived from the incarnation, then a 4-byte counter. Answers to
// messages sent before a restart of this instance carry another incarnation, so they match no open exchange.
type Token [TokenSize]byte

// ParseToken returns the token of a message. It reports false if the length is not that of tokens of this package.
func ParseToken(raw []byte) (Token, bool) {
	if len(raw) != TokenSize {
		return Token{}, false
	}
	return Token(raw), true
}

func newToken(incarnation id.Incarnation, count uint32) Token {
	var token Token
	binary.BigEndian.PutUint32(token[:_counterOffset], uint32(incarnation)^uint32(incarnation>>32))
	binary.BigEndian.PutUint32(token[_counterOffset:], count)
	return token
}

func (token Token) count() uint32 {
	return binary.BigEndian.Uint32(token[_counterOffset:])
}
