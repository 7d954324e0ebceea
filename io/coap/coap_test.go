package coap_test

import (
	"testing"
	"time"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"azureshift/io/coap"
)

func TestTag(t *testing.T) {
	c := qt.New(t)
	request := coap.Message{Code: codes.POST, Type: message.Confirmable, MessageID: 0xbeef, Token: []byte("caller")}
	c.Run("an answer is addressed to its request", func(c *qt.C) {
		answer, err := coap.TagOf(request).Correlate(coap.Message{Code: codes.Changed, Token: []byte("ours"), MessageID: 1})
		c.Assert(err, qt.IsNil)
		c.Assert(string(answer.Token), qt.Equals, "caller")
		c.Assert(answer.MessageID, qt.Equals, int32(0xbeef))
		c.Assert(answer.Type, qt.Equals, message.Acknowledgement)
	})
	c.Run("a different message ID gives a different tag", func(c *qt.C) {
		other := request
		other.MessageID++
		c.Assert(coap.TagOf(other), qt.Not(qt.Equals), coap.TagOf(request))
	})
	c.Run("a tag is valid UTF-8 for any token", func(c *qt.C) {
		binary := request
		binary.Token = []byte{0xff, 0xfe, 0x80}
		c.Assert(utf8.ValidString(string(coap.TagOf(binary))), qt.IsTrue)
	})
	c.Run("an invalid tag is rejected", func(c *qt.C) {
		_, err := coap.Tag("x").Correlate(coap.Message{})
		c.Assert(err, qt.ErrorMatches, "decode request tag.*")
	})
}

func TestServiceUnavailableRetryTime(t *testing.T) {
	c := qt.New(t)
	for _, want := range []time.Duration{time.Second, 90 * time.Second, 10 * time.Minute} {
		encoded, err := coap.Encode(coap.ServiceUnavailable(want))
		c.Assert(err, qt.IsNil)
		decoded, err := coap.Decode(encoded)
		c.Assert(err, qt.IsNil)
		got, refused := coap.RetryAfter(decoded)
		c.Assert(refused, qt.IsTrue)
		c.Assert(got, qt.Equals, want)
	}
}
