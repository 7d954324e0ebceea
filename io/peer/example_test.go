package peer_test

import (
	"context"
	"fmt"

	"azureshift/core/id"
	"azureshift/io/peer"
)

// Greeting is a message type, as other packages define and register them.
type Greeting struct {
	Text string `cbor:"1,keyasint"`
}

// One instance sends a message to another in a datagram, and then one in an exchange, which returns an answer.
func Example() {
	key, err := peer.RandomKey()
	if err != nil {
		fmt.Println(err)
		return
	}
	left, right := open("left", key), open("right", key)
	defer func() { _ = left.Close() }()
	defer func() { _ = right.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	received := make(chan peer.Received, 1)
	go right.Receive(ctx, func(got peer.Received) { received <- got })
	if err := left.Send(right.Address(), Greeting{Text: "hello"}); err != nil {
		fmt.Println(err)
	}
	got := <-received
	fmt.Println(got.From.Instance, got.Message.(Greeting).Text)

	go func() { _ = right.Serve(ctx, answer) }()
	reply, err := left.Exchange(ctx, right.Address(), Greeting{Text: "hello"})
	fmt.Println(reply, err)
	// Output:
	// left hello
	// {hello to you} <nil>
}

func answer(_ context.Context, _ id.Member, message any) (any, error) {
	return Greeting{Text: message.(Greeting).Text + " to you"}, nil
}

func open(name id.Instance, key peer.Key) *peer.Conn {
	registry, err := peer.NewRegistry()
	if err == nil {
		err = registry.Register(2, Greeting{})
	}
	if err != nil {
		panic(err)
	}
	conn, err := peer.Listen(peer.Config{
		Member:   id.Member{Instance: name, Incarnation: 1},
		Keys:     []peer.Key{key},
		Registry: registry,
	})
	if err != nil {
		panic(err)
	}
	return conn
}
