package berylsoak

// This file defines the configuration that the soak publishes.

import (
	"fmt"

	"berylspoke/platform/beryldouble"
)

// The services and the routes that all versions hold.
const (
	engines    = "pen-servers"
	desks      = "post-desk"
	pathDraft  = "/draft/"
	pathResume = "/resume/"
	pathBook   = "/book/"
	pathLook   = "/look/"
	pathAdded  = "/added/"
	organised  = 6
)

// declared is what differs between the versions.
type declared struct {
	// added says that the extra route is there.
	added bool
	// revoked is the number of keys that were taken away.
	revoked int
}

// keyOf returns the key of an organisation; each has two, of which only the
// second is ever taken away.
func keyOf(organisation, key int) string { return fmt.Sprintf("key-%d-%d", organisation, key) }

func organisationName(organisation int) string { return fmt.Sprintf("organisation-%d", organisation) }

// publish declares a new version and tells the judge when it was accepted.
func (world *World) publish(declared declared) error {
	world.version++
	configuration := beryldouble.Configuration{
		Version: world.version, Host: "h.example", Throughput: 400_000,
		Services: []beryldouble.Service{{Name: engines, Slots: 16, Memory: 400_000, Event: 8}, {Name: desks}},
		Routes: []beryldouble.Route{
			{Name: "draft", Prefix: pathDraft, Kind: "streaming", Service: engines, TimeoutMillis: 8000, ObjectiveMillis: 800, Attempts: 1},
			{Name: "resume", Prefix: pathResume, Kind: "streaming", Service: engines, TimeoutMillis: 8000, ObjectiveMillis: 800, Attempts: 3, Resumable: true},
			{Name: "book", Prefix: pathBook, Kind: "non_idempotent", Service: desks, TimeoutMillis: 3000, ObjectiveMillis: 300, Attempts: 1},
			{Name: "look", Prefix: pathLook, Kind: "idempotent", Service: desks, TimeoutMillis: 3000, ObjectiveMillis: 300, Attempts: 2},
		},
	}
	if declared.added {
		configuration.Routes = append(configuration.Routes, beryldouble.Route{
			Name: "added", Prefix: pathAdded, Kind: "idempotent", Service: desks, TimeoutMillis: 3000, ObjectiveMillis: 300, Attempts: 2,
		})
	}
	for i := range organised {
		keys := []string{keyOf(i, 0)}
		if i >= declared.revoked {
			keys = append(keys, keyOf(i, 1))
		}
		configuration.Organisations = append(configuration.Organisations, beryldouble.Organisation{Name: organisationName(i), Keys: keys})
	}
	if err := configuration.Publish(world.store); err != nil {
		return err
	}
	world.judge.declares(declared)
	return nil
}
