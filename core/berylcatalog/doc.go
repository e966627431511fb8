// Package berylcatalog indexes one version of the declared configuration.
//
// An indexed catalog is immutable. A daemon replaces the whole index when a newer
// version arrives, and a request keeps the index that it started with, so no request
// sees two versions.
package berylcatalog
