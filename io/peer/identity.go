package peer

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/rotisserie/eris"
)

const (
	_commonName          = "azureshift"
	_certificateValidity = 100 * 365 * 24 * time.Hour
	_serialNumber        = 1
	_clockSkew           = 365 * 24 * time.Hour
)

var errUntrustedPeer = eris.New("peer certificate not derived from a shared key; compare Peer.KeyFiles on both sides")

// newTLS returns the TLS configurations for both sides of a connection.
//
// An Ed25519 key pair is derived from each shared key. Each side presents a certificate with the public key derived
// from its first shared key and trusts the public keys derived from any of its shared keys. In the TLS 1.3 handshake
// each side signs the transcript, which proves that it holds the private key and therefore the shared key. The key
// exchange is ephemeral, so a shared key that leaks later does not decrypt recorded connections. Only the public key
// of the certificate is relied on. Session resumption is off, so that every connection is authenticated anew.
func newTLS(config Config) (server, client *tls.Config, err error) {
	trusted := make([]ed25519.PublicKey, 0, len(config.Keys))
	for _, key := range config.Keys {
		keyPair, err := key.keyPair()
		if err != nil {
			return nil, nil, err
		}
		trusted = append(trusted, keyPair.Public().(ed25519.PublicKey))
	}
	certificate, err := newCertificate(config.Keys[0])
	if err != nil {
		return nil, nil, err
	}
	shared := &tls.Config{
		Certificates:           []tls.Certificate{certificate},
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		VerifyConnection:       func(state tls.ConnectionState) error { return verifyPeer(state, trusted) },
	}
	if config.DisabledChecks.PeerVerification {
		shared.VerifyConnection = nil
	}
	server, client = shared.Clone(), shared.Clone()
	server.ClientAuth = tls.RequireAnyClientCert
	// VerifyConnection compares the public key in place of the checks of the certificate chain and host name.
	client.InsecureSkipVerify = true
	return server, client, nil
}

func verifyPeer(state tls.ConnectionState, trusted []ed25519.PublicKey) error {
	if len(state.PeerCertificates) == 0 {
		return errUntrustedPeer
	}
	presented, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return errUntrustedPeer
	}
	for _, key := range trusted {
		if key.Equal(presented) {
			return nil
		}
	}
	return errUntrustedPeer
}

func newCertificate(key Key) (tls.Certificate, error) {
	keyPair, err := key.keyPair()
	if err != nil {
		return tls.Certificate{}, err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(_serialNumber),
		Subject:      pkix.Name{CommonName: _commonName},
		NotBefore:    now.Add(-_clockSkew),
		NotAfter:     now.Add(_certificateValidity),
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, keyPair.Public(), keyPair)
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "create certificate")
	}
	return tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: keyPair}, nil
}

// keyPair returns the Ed25519 key pair derived from the shared key.
func (key Key) keyPair() (ed25519.PrivateKey, error) {
	seed, err := key.derive(_identityInfo, ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	return ed25519.NewKeyFromSeed(seed), nil
}
