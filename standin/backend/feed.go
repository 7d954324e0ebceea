package backend

import (
	"context"
	"encoding/binary"
	"net/netip"
	"strconv"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"azureshift/io/coap"
)

const (
	_observeDeregister = 1
	_notifyPhases      = 32
	_sequenceMask      = 1<<24 - 1
)

type feedKey struct {
	peer  netip.AddrPort
	token string
}

type feed struct {
	registeredAt time.Time
	phase        int
}

// registerFeed adds, renews or removes a feed. The sequence number of notifications is the server's clock, so that it
// increases across all registrations of a caller (RFC 7641 section 4.4).
func (backend *Backend) registerFeed(peer netip.AddrPort, request coap.Message) {
	key := feedKey{peer: peer, token: string(request.Token)}
	if observe, err := request.Options.Observe(); err == nil && observe == _observeDeregister {
		delete(backend.feeds, key)
		backend.send(peer, newReply(request, codes.Content))
		return
	}
	backend.feeds[key] = &feed{registeredAt: time.Now(), phase: int(request.Token[0]) % _notifyPhases}
	answer := backend.notification(key)
	answer.Type = message.Acknowledgement
	answer.MessageID = request.MessageID
	backend.send(peer, answer)
}

func (backend *Backend) notification(key feedKey) coap.Message {
	backend.lastMessageID++
	sequence := uint32(time.Now().UnixMilli()) & _sequenceMask
	return coap.Message{
		Code:      codes.Content,
		Token:     []byte(key.token),
		MessageID: int32(backend.lastMessageID),
		Type:      message.NonConfirmable,
		Options: message.Options{
			{ID: message.Observe, Value: binary.BigEndian.AppendUint32(nil, sequence)[1:]},
		},
		Payload: []byte(string(backend.config.Target) + " " + strconv.FormatUint(uint64(sequence), 10)),
	}
}

// notifyFeeds spreads the feeds evenly over the phases of a period, as if the feeds were independent.
func (backend *Backend) notifyFeeds(ctx context.Context) {
	ticker := time.NewTicker(backend.config.NotifyPeriod / _notifyPhases)
	defer ticker.Stop()
	for phase := 0; ; phase = (phase + 1) % _notifyPhases {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			backend.notifyPhase(phase)
		}
	}
}

func (backend *Backend) notifyPhase(phase int) {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	for key, registration := range backend.feeds {
		if time.Since(registration.registeredAt) > backend.config.FeedLifetime {
			delete(backend.feeds, key)
			continue
		}
		if registration.phase == phase {
			backend.send(key.peer, backend.notification(key))
		}
	}
}
