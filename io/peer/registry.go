package peer

import (
	"encoding"
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Kind identifies a message type on the wire. A kind must never be reassigned to another type.
type Kind uint16

// Envelope is an encoded message and its kind.
type Envelope struct {
	Kind Kind
	Body []byte
}

// BinaryMessage is implemented by message types with a binary body format of their own in place of CBOR.
type BinaryMessage interface {
	encoding.BinaryAppender
	// DecodeBinary decodes a message from body, which it must not retain.
	DecodeBinary(body []byte) (any, error)
}

const (
	_maxNesting       = 8
	_maxArrayElements = 1 << 16
	_maxMapPairs      = 1 << 16
)

// Registry maps kinds to message types. Register all types before the first message is sent or received; after that
// a registry is safe for concurrent use.
type Registry struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
	byKind  map[Kind]registration
	byType  map[reflect.Type]registration
}

type registration struct {
	kind            Kind
	messageType     reflect.Type
	binaryPrototype BinaryMessage
	allowUnbound    bool
}

// NewRegistry returns a registry in which Forward is registered as KindForward.
func NewRegistry() (*Registry, error) {
	encoder, err := cbor.EncOptions{
		Sort: cbor.SortCanonical,
		Time: cbor.TimeRFC3339Nano,
	}.EncMode()
	if err != nil {
		return nil, eris.Wrap(err, "configure CBOR encoder")
	}
	decoder, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  _maxNesting,
		MaxArrayElements: _maxArrayElements,
		MaxMapPairs:      _maxMapPairs,
	}.DecMode()
	if err != nil {
		return nil, eris.Wrap(err, "configure CBOR decoder")
	}
	registry := &Registry{
		encoder: encoder,
		decoder: decoder,
		byKind:  make(map[Kind]registration),
		byType:  make(map[reflect.Type]registration),
	}
	return registry, registry.Register(KindForward, Forward{})
}

// Register assigns a kind to the type of prototype. Messages of this kind require a destination incarnation.
func (registry *Registry) Register(kind Kind, prototype any) error {
	return registry.register(kind, prototype, false)
}

// RegisterUnbound is like Register for kinds that can also be sent to an address whose member is not known yet. A copy
// of such a message may be accepted again after its destination restarts, so processing it twice must be harmless.
func (registry *Registry) RegisterUnbound(kind Kind, prototype any) error {
	return registry.register(kind, prototype, true)
}

func (registry *Registry) register(kind Kind, prototype any, allowUnbound bool) error {
	messageType := reflect.TypeOf(prototype)
	if kind == 0 || messageType == nil || messageType.Kind() != reflect.Struct {
		return eris.Wrapf(RegistrationError{Kind: kind, Type: typeName(messageType)}, "kind is 0 or message is not a struct")
	}
	_, kindTaken := registry.byKind[kind]
	_, typeTaken := registry.byType[messageType]
	if kindTaken || typeTaken {
		return eris.Wrap(RegistrationError{Kind: kind, Type: typeName(messageType)}, "kind or type is already registered")
	}
	binaryMessage, _ := prototype.(BinaryMessage)
	added := registration{kind: kind, messageType: messageType, binaryPrototype: binaryMessage, allowUnbound: allowUnbound}
	registry.byKind[kind] = added
	registry.byType[messageType] = added
	return nil
}

// Encode encodes a message.
func (registry *Registry) Encode(message any) (Envelope, error) {
	found, err := registry.lookup(message)
	if err != nil {
		return Envelope{}, err
	}
	body, err := registry.appendBody(nil, found, message)
	return Envelope{Kind: found.kind, Body: body}, err
}

// Decode decodes a message to a value of its registered type. The message does not alias the body.
func (registry *Registry) Decode(envelope Envelope) (any, error) {
	found, ok := registry.byKind[envelope.Kind]
	if !ok {
		return nil, UnknownKindError{Kind: envelope.Kind}
	}
	if found.binaryPrototype != nil {
		message, err := found.binaryPrototype.DecodeBinary(envelope.Body)
		if err != nil {
			return nil, BodyError{Kind: envelope.Kind, Cause: err}
		}
		return message, nil
	}
	message := reflect.New(found.messageType)
	if err := registry.decoder.Unmarshal(envelope.Body, message.Interface()); err != nil {
		return nil, BodyError{Kind: envelope.Kind, Cause: err}
	}
	return message.Elem().Interface(), nil
}

func (registry *Registry) lookup(message any) (registration, error) {
	found, ok := registry.byType[reflect.TypeOf(message)]
	if !ok {
		return registration{}, eris.Wrap(UnregisteredError{Type: typeName(reflect.TypeOf(message))}, "look up message type")
	}
	return found, nil
}

func (registry *Registry) appendBody(buffer []byte, found registration, message any) ([]byte, error) {
	if binaryMessage, ok := message.(BinaryMessage); ok {
		body, err := binaryMessage.AppendBinary(buffer)
		if err != nil {
			return nil, eris.Wrapf(err, "encode body of kind %d", found.kind)
		}
		return body, nil
	}
	body, err := registry.encoder.Marshal(message)
	if err != nil {
		return nil, eris.Wrapf(err, "encode body of kind %d", found.kind)
	}
	return append(buffer, body...), nil
}

func typeName(messageType reflect.Type) string {
	if messageType == nil {
		return "nil"
	}
	return messageType.String()
}
