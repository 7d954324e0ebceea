package bundle

import (
	"fmt"
	"slices"

	"azureshift/core/id"
)

// Change is one difference between two bundles.
type Change struct {
	// Path locates the difference by the names of service and target, as in chiosco.Targets[chiosco-3].Mode.
	Path string
	// Before is the older value, empty if it was added.
	Before string
	// After is the newer value, empty if it was removed.
	After string
}

// String returns the change on one line, with + for added, - for removed and ~ for changed.
func (change Change) String() string {
	switch {
	case change.Before == "":
		return fmt.Sprintf("+ %s %s", change.Path, change.After)
	case change.After == "":
		return fmt.Sprintf("- %s %s", change.Path, change.Before)
	default:
		return fmt.Sprintf("~ %s %s -> %s", change.Path, change.Before, change.After)
	}
}

// Diff returns the differences between two bundles, ordered by path. It ignores the order of services and targets.
func Diff(before, after Bundle) []Change {
	var changes []Change
	changes = appendChange(changes, "Version", before.Version, after.Version)
	older, newer := indexByName(before.Services, serviceName), indexByName(after.Services, serviceName)
	for _, name := range mergeNames(older, newer) {
		path := string(name)
		left, inOlder := older[name]
		right, inNewer := newer[name]
		switch {
		case !inOlder:
			changes = append(changes, Change{Path: path, After: right.summary()})
		case !inNewer:
			changes = append(changes, Change{Path: path, Before: left.summary()})
		default:
			changes = appendServiceChanges(changes, path, left, right)
		}
	}
	return changes
}

func appendServiceChanges(changes []Change, path string, before, after Service) []Change {
	changes = appendChange(changes, path+".Customer", before.Customer, after.Customer)
	changes = appendChange(changes, path+".Address", before.Address, after.Address)
	older, newer := indexByName(before.Targets, targetName), indexByName(after.Targets, targetName)
	for _, name := range mergeNames(older, newer) {
		where := fmt.Sprintf("%s.Targets[%s]", path, name)
		left, inOlder := older[name]
		right, inNewer := newer[name]
		switch {
		case !inOlder:
			changes = append(changes, Change{Path: where, After: right.Address.String()})
		case !inNewer:
			changes = append(changes, Change{Path: where, Before: left.Address.String()})
		default:
			changes = appendTargetChanges(changes, where, left, right)
		}
	}
	return changes
}

func appendTargetChanges(changes []Change, path string, before, after Target) []Change {
	changes = appendChange(changes, path+".Domain", before.Domain, after.Domain)
	changes = appendChange(changes, path+".Address", before.Address, after.Address)
	changes = appendChange(changes, path+".Health", before.Health, after.Health)
	changes = appendChange(changes, path+".Slots", before.Slots, after.Slots)
	changes = appendChange(changes, path+".Connections", before.Connections, after.Connections)
	return appendChange(changes, path+".Mode", before.Mode, after.Mode)
}

func appendChange[Value comparable](changes []Change, path string, before, after Value) []Change {
	if before == after {
		return changes
	}
	return append(changes, Change{Path: path, Before: fmt.Sprint(before), After: fmt.Sprint(after)})
}

func (service Service) summary() string {
	return fmt.Sprintf("%v with %d targets", service.Address, len(service.Targets))
}

func serviceName(service Service) id.Service { return service.Name }

func targetName(target Target) id.Target { return target.Name }

func indexByName[Name comparable, Item any](items []Item, name func(Item) Name) map[Name]Item {
	named := make(map[Name]Item, len(items))
	for _, item := range items {
		named[name(item)] = item
	}
	return named
}

func mergeNames[Name ~string, Item any](older, newer map[Name]Item) []Name {
	var all []Name
	for name := range older {
		all = append(all, name)
	}
	for name := range newer {
		if _, ok := older[name]; !ok {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}
