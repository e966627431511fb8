package berylcatalog

// This file defines the index of routes and keys.

import (
	"net"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"berylspoke"
)

// Index looks up the route of a request and the organisation of a key.
type Index struct {
	catalog *berylspoke.Catalog
	hosts   map[string][]*berylspoke.Route
	keys    map[string]berylspoke.OrganisationID
	// regions holds the regions of the organisations that are restricted to some.
	regions map[berylspoke.OrganisationID]berylspoke.Regions
}

// New indexes a catalog.
func New(catalog *berylspoke.Catalog) *Index {
	index := &Index{
		catalog: catalog,
		hosts:   make(map[string][]*berylspoke.Route),
		keys:    make(map[string]berylspoke.OrganisationID),
		regions: make(map[berylspoke.OrganisationID]berylspoke.Regions),
	}
	for i := range catalog.Routes {
		route := &catalog.Routes[i]
		index.hosts[route.Host] = append(index.hosts[route.Host], route)
	}
	for _, routes := range index.hosts {
		// The longest prefix comes first, so the first match is the longest.
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, organisation := range catalog.Organisations {
		for _, key := range organisation.Keys {
			index.keys[key] = organisation.ID
		}
		if organisation.Regions != nil {
			index.regions[organisation.ID] = organisation.Regions
		}
	}
	return index
}

// Catalog returns the catalog that was indexed.
func (index *Index) Catalog() *berylspoke.Catalog { return index.catalog }

// Route returns the route with the longest matching prefix of the path, or nil. The host
// may have a port.
func (index *Index) Route(host, path string) *berylspoke.Route {
	if strings.IndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	for _, route := range index.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Organisation returns the organisation of a key.
func (index *Index) Organisation(key string) (berylspoke.OrganisationID, bool) {
	organisation, known := index.keys[key]
	return organisation, known
}

// Regions returns the regions in which a request of an organisation on a route may be
// served.
func (index *Index) Regions(route *berylspoke.Route, organisation berylspoke.OrganisationID) berylspoke.Regions {
	return route.Regions.Intersect(index.regions[organisation])
}

// PickService picks the service of a request by the weights of its route. It depends only
// on the hash of the request's id, so all attempts of a request pick the same service.
func PickService(route *berylspoke.Route, id berylspoke.RequestID) berylspoke.ServiceID {
	total := 0
	for _, share := range route.Shares {
		total += max(share.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	point := int(xxhash.Sum64String(string(id)) % uint64(total))
	for _, share := range route.Shares {
		if point -= max(share.Weight, 0); point < 0 {
			return share.Service
		}
	}
	return ""
}
