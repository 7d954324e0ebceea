package bundle

import (
	"cmp"
	"fmt"
	"slices"

	"azureshift/core/id"
)

// HeadDelta is a head encoded as its difference from an older one, so that a change of one service does not
// send the full list of parts.
type HeadDelta struct {
	// Base is the version that the delta applies to.
	Base id.Version `cbor:"1,keyasint" json:"Base"`
	// Head is the new head, with only those parts that are not in the base.
	Head Head `cbor:"2,keyasint" json:"Head"`
	// Removed lists the services that are in the base but not in the new head, sorted by name.
	Removed []id.Service `cbor:"3,keyasint" json:"Removed"`
}

// DeltaOf returns the delta that turns base into head.
func DeltaOf(base, head Head) HeadDelta {
	before := make(map[id.Service]Hash, len(base.Parts))
	for _, ref := range base.Parts {
		before[ref.Service] = ref.Hash
	}
	delta := HeadDelta{Base: base.Version, Head: head}
	delta.Head.Parts = nil
	for _, ref := range head.Parts {
		if hash, ok := before[ref.Service]; !ok || hash != ref.Hash {
			delta.Head.Parts = append(delta.Head.Parts, ref)
		}
		delete(before, ref.Service)
	}
	for _, ref := range base.Parts {
		if _, ok := before[ref.Service]; ok {
			delta.Removed = append(delta.Removed, ref.Service)
		}
	}
	return delta
}

// ApplyTo applies the delta to base and returns the complete new head. It returns an error if base has another version
// than the delta's. Callers verify the signature to check that the result is the head that was signed.
func (delta HeadDelta) ApplyTo(base Head) (Head, error) {
	if base.Version != delta.Base {
		problem := fmt.Sprintf("is a delta from version %d, not from %d", delta.Base, base.Version)
		return Head{}, &HeadError{Version: delta.Head.Version, Problem: problem, Remedy: "fetch the whole head"}
	}
	replaced := make(map[id.Service]struct{}, len(delta.Head.Parts)+len(delta.Removed))
	for _, ref := range delta.Head.Parts {
		replaced[ref.Service] = struct{}{}
	}
	for _, service := range delta.Removed {
		replaced[service] = struct{}{}
	}
	head := delta.Head
	head.Parts = slices.Clone(delta.Head.Parts)
	for _, ref := range base.Parts {
		if _, ok := replaced[ref.Service]; !ok {
			head.Parts = append(head.Parts, ref)
		}
	}
	slices.SortFunc(head.Parts, func(left, right PartRef) int { return cmp.Compare(left.Service, right.Service) })
	return head, nil
}
