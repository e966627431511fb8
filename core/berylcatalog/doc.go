// Package berylcatalog indexes one version of the declared configuration.
//
// The model: a catalog never changes once it is indexed. A daemon swaps the
// whole index when a newer version arrives, and a request keeps the index that
// it began with, so no request sees two versions.
package berylcatalog
