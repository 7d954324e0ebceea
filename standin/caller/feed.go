package caller

import (
	"context"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"azureshift/io/coap"
)

const _halfSequenceSpace = 1 << 23

// FeedTiming sets when a feed is registered again.
type FeedTiming struct {
	// MaxSilence is the longest time without a notification.
	MaxSilence time.Duration
	// RefreshInterval is the longest time between two registrations.
	RefreshInterval time.Duration
}

// Feed registers for notifications and passes each to receive until the context ends. It drops notifications that are
// not newer than the latest.
func (caller *Caller) Feed(ctx context.Context, feedTiming FeedTiming, receive func(coap.Message)) error {
	options := append(message.Options{{ID: message.Observe, Value: nil}}, caller.uriPath()...)
	registration := coap.Message{Code: codes.GET, Token: newToken(), Options: options}
	var latestSequence uint32
	hasSequence := false
	for ctx.Err() == nil {
		caller.lastMessageID++
		registration.MessageID = int32(caller.lastMessageID)
		if err := caller.transmit(registration); err != nil {
			return err
		}
		registeredAt := time.Now()
		for ctx.Err() == nil && time.Since(registeredAt) < feedTiming.RefreshInterval {
			notification, err := caller.receive(registration.Token, feedTiming.MaxSilence)
			if err != nil {
				break
			}
			sequence, err := notification.Options.Observe()
			if err != nil || hasSequence && !isNewer(sequence, latestSequence) {
				continue
			}
			hasSequence = true
			latestSequence = sequence
			receive(notification)
		}
	}
	return nil
}

// isNewer reports whether the 24-bit sequence number comes after the latest one (RFC 7641 section 3.4).
func isNewer(sequence, latest uint32) bool {
	return sequence > latest && sequence-latest < _halfSequenceSpace ||
		sequence < latest && latest-sequence > _halfSequenceSpace
}
