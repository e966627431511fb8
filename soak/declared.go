package berylsoak

// This file defines the configuration that the soak publishes.

import (
	"fmt"

	"berylspoke/platform/beryldouble"
)

// The services and the paths of the routes; pathAdded is not in all versions.
const (
	engineService     = "pen-servers"
	deskService       = "post-desk"
	pathDraft         = "/draft/"
	pathResume        = "/resume/"
	pathBook          = "/book/"
	pathLook          = "/look/"
	pathAdded         = "/added/"
	organisationCount = 6
)

// configState holds the differences between the published versions.
type configState struct {
	// addedRoute is set if the version has the route of pathAdded.
	addedRoute bool
	// revokedKeys is the number of organisations whose second key is revoked.
	revokedKeys int
}

// callerKey returns a key of an organisation. Each organisation has two keys, and only
// the second is ever revoked.
func callerKey(organisation, key int) string { return fmt.Sprintf("key-%d-%d", organisation, key) }

func organisationName(organisation int) string { return fmt.Sprintf("organisation-%d", organisation) }

// publish publishes a new version and records it with the judge once the store has it.
func (world *World) publish(state configState) error {
	world.version++
	if err := world.write(state); err != nil {
		return err
	}
	world.judge.recordPublished(state)
	return nil
}

// write writes the present version.
func (world *World) write(state configState) error {
	if world.size.Shape != nil {
		return world.writeShape()
	}
	configuration := beryldouble.Configuration{
		Version: world.version, Host: "h.example", TokensPerSecond: 400_000,
		Services: []beryldouble.Service{{Name: engineService, Slots: 16, CacheCapacity: 400_000, EventTokens: 8}, {Name: deskService}},
		Routes: []beryldouble.Route{
			{Name: "draft", Prefix: pathDraft, Kind: "streaming", Service: engineService, TimeoutMillis: 8000, FirstByteObjectiveMillis: 800, MaxAttempts: 1},
			{Name: "resume", Prefix: pathResume, Kind: "streaming", Service: engineService, TimeoutMillis: 8000, FirstByteObjectiveMillis: 800, MaxAttempts: 3, Resumable: true},
			{Name: "book", Prefix: pathBook, Kind: "non_idempotent", Service: deskService, TimeoutMillis: 3000, FirstByteObjectiveMillis: 300, MaxAttempts: 1},
			{Name: "look", Prefix: pathLook, Kind: "idempotent", Service: deskService, TimeoutMillis: 3000, FirstByteObjectiveMillis: 300, MaxAttempts: 2},
		},
	}
	if state.addedRoute {
		configuration.Routes = append(configuration.Routes, beryldouble.Route{
			Name: "added", Prefix: pathAdded, Kind: "idempotent", Service: deskService, TimeoutMillis: 3000, FirstByteObjectiveMillis: 300, MaxAttempts: 2,
		})
	}
	if world.size.Stops {
		world.drawTimeouts(configuration.Routes)
	}
	for i := range organisationCount {
		keys := []string{callerKey(i, 0)}
		if i >= state.revokedKeys {
			keys = append(keys, callerKey(i, 1))
		}
		configuration.Organisations = append(configuration.Organisations, beryldouble.Organisation{Name: organisationName(i), Keys: keys})
	}
	for i := range world.padding {
		configuration.Organisations = append(configuration.Organisations, beryldouble.Organisation{
			Name: fmt.Sprintf("padding-%05d", i), Keys: []string{fmt.Sprintf("padding-key-%020d", i)},
		})
	}
	return configuration.Publish(world.store)
}
