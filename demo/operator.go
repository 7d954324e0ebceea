package demo

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/bundle"
	"azureshift/bundle/roll"
	"azureshift/core/id"
	"azureshift/io/peer"
	"azureshift/io/platform"
)

const (
	_keptVersions = 4
	_rollWriters  = 4
	_rollBackoff  = time.Second
	_keyMode      = 0o600
)

// operator signs bundles off and rolls them.
type operator struct {
	key    bundle.SigningKey
	client *platform.Client
	roller *roll.Roller
}

// credentials are the paths of the key files used in the settings of instances.
type credentials struct {
	sharedKey string
	publicKey string
}

func newOperator(address string) (*operator, error) {
	key, err := bundle.NewSigningKey()
	if err != nil {
		return nil, err
	}
	client, err := platform.New(platform.Config{Address: address})
	if err != nil {
		return nil, err
	}
	return &operator{
		key:    key,
		client: client,
		roller: roll.New(roll.Config{
			Store: client, RetainedVersions: _keptVersions, MaxConcurrentWrites: _rollWriters, MaxBackoff: _rollBackoff,
		}),
	}, nil
}

// writeCredentials writes the key files of one deployment to dir.
func (operator *operator) writeCredentials(dir string) (credentials, error) {
	written := credentials{
		sharedKey: filepath.Join(dir, "shared.key"),
		publicKey: filepath.Join(dir, "public.pem"),
	}
	secret := make([]byte, peer.KeySize)
	if _, err := rand.Read(secret); err != nil {
		return credentials{}, eris.Wrap(err, "generate shared key")
	}
	if err := os.WriteFile(written.sharedKey, []byte(hex.EncodeToString(secret)), _keyMode); err != nil {
		return credentials{}, eris.Wrap(err, "write shared key")
	}
	public, err := operator.key.PublicPEM()
	if err != nil {
		return credentials{}, err
	}
	return written, eris.Wrap(os.WriteFile(written.publicKey, public, _keyMode), "write public key")
}

// roll signs off a bundle and rolls it if the version in force is the expected one.
func (operator *operator) roll(ctx context.Context, next bundle.Bundle, expect id.Version) error {
	signed, err := operator.key.Sign(next, time.Now())
	if err != nil {
		return err
	}
	_, err = operator.roller.Roll(ctx, signed, expect)
	return err
}
