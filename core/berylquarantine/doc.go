// Package berylquarantine tells requests apart by what they ask for, whatever their id.
package berylquarantine

// Digest identifies what a request asks for, whatever its id.
type Digest uint64
