package berylconfig

// This file defines the patch from one version to other declarations.

import (
	"fmt"
	"reflect"
	"sort"

	"berylspoke"
)

// Change is one difference between two declarations.
type Change struct {
	Path   string
	Before string
	After  string
}

// String returns the change as a line: + added, - removed, ~ replaced.
func (change Change) String() string {
	switch {
	case change.Before == "":
		return "+ " + change.Path + " " + change.After
	case change.After == "":
		return "- " + change.Path + " " + change.Before
	default:
		return "~ " + change.Path + " " + change.Before + " -> " + change.After
	}
}

// Diff returns the patch from the state to the wanted declarations and its changes,
// sorted by path.
func Diff(state *State, wanted *Declarations, note string) (*Patch, []Change) {
	patch := &Patch{
		Base: state.Version, BaseHash: state.Hash.Short(), Note: note,
		FailureDomains: make(map[berylspoke.FailureDomain]*Domain),
		Organisations:  make(map[berylspoke.OrganisationID]*Organisation),
		Services:       make(map[berylspoke.ServiceID]*Service),
		Targets:        make(map[berylspoke.TargetID]*Target),
	}
	if state.Version == 0 {
		patch.BaseHash = ""
	}
	var changes []Change
	old := state.Declarations
	for id := range union(old.FailureDomains, wanted.FailureDomains) {
		before, had := old.FailureDomains[berylspoke.FailureDomain(id)]
		after, has := wanted.FailureDomains[berylspoke.FailureDomain(id)]
		if change, ok := compare("failureDomains."+id, had, before, has, after); ok {
			changes = append(changes, change)
			patch.FailureDomains[berylspoke.FailureDomain(id)] = nil
			if has {
				patch.FailureDomains[berylspoke.FailureDomain(id)] = &after
			}
		}
	}
	for id := range union(old.Organisations, wanted.Organisations) {
		before, had := old.Organisations[berylspoke.OrganisationID(id)]
		after, has := wanted.Organisations[berylspoke.OrganisationID(id)]
		if change, ok := compare("organisations."+id, had, before, has, after); ok {
			changes = append(changes, change)
			patch.Organisations[berylspoke.OrganisationID(id)] = nil
			if has {
				patch.Organisations[berylspoke.OrganisationID(id)] = &after
			}
		}
	}
	for id := range union(old.Services, wanted.Services) {
		before, had := old.Services[berylspoke.ServiceID(id)]
		after, has := wanted.Services[berylspoke.ServiceID(id)]
		if change, ok := compare("services."+id, had, before, has, after); ok {
			changes = append(changes, change)
			patch.Services[berylspoke.ServiceID(id)] = nil
			if has {
				patch.Services[berylspoke.ServiceID(id)] = &after
			}
		}
	}
	for id := range union(old.Targets, wanted.Targets) {
		before, had := old.Targets[berylspoke.TargetID(id)]
		after, has := wanted.Targets[berylspoke.TargetID(id)]
		if change, ok := compare("targets."+id, had, before, has, after); ok {
			changes = append(changes, change)
			patch.Targets[berylspoke.TargetID(id)] = nil
			if has {
				patch.Targets[berylspoke.TargetID(id)] = &after
			}
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return patch, changes
}

// union returns the keys that either of two maps with string keys has.
func union(left, right any) map[string]bool {
	keys := make(map[string]bool)
	for _, side := range []any{left, right} {
		for _, key := range reflect.ValueOf(side).MapKeys() {
			keys[key.String()] = true
		}
	}
	return keys
}

func compare(path string, had bool, before any, has bool, after any) (Change, bool) {
	change := Change{Path: path}
	if had {
		change.Before = fmt.Sprintf("%+v", before)
	}
	if has {
		change.After = fmt.Sprintf("%+v", after)
	}
	return change, change.Before != change.After
}
