package rollout_test

import (
	"azureshift/bundle"
)

// verifier caches what its key ring accepted, so that thousands of followers in one process share the CPU time and the
// memory.
type verifier struct {
	ring     bundle.KeyRing
	heads    map[bundle.Digest]struct{}
	services map[bundle.Hash]bundle.Service
}

func newVerifier(ring bundle.KeyRing) *verifier {
	return &verifier{
		ring: ring, heads: make(map[bundle.Digest]struct{}), services: make(map[bundle.Hash]bundle.Service),
	}
}

func (verifier *verifier) VerifyHead(head bundle.Head) error {
	digest := head.Digest()
	if _, ok := verifier.heads[digest]; ok {
		return nil
	}
	if err := verifier.ring.VerifyHead(head); err != nil {
		return err
	}
	verifier.heads[digest] = struct{}{}
	return nil
}

func (verifier *verifier) OpenPart(hash bundle.Hash, raw []byte) (bundle.Service, error) {
	if service, ok := verifier.services[hash]; ok && bundle.HashOf(raw) == hash {
		return service, nil
	}
	service, err := verifier.ring.OpenPart(hash, raw)
	if err == nil {
		verifier.services[hash] = service
	}
	return service, err
}
