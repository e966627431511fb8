// Package berylconfig folds the published patches into the declarations in force.
//
// The platform publishes a numbered sequence of entries. Each entry is a patch that names
// the version it was made against. Every reader folds the same sequence by the same rule:
// an entry made against the version in force whose result is valid becomes the next
// version; any other entry is rejected and changes nothing. Concurrent patches of two
// operators therefore have the same winner everywhere without any write by the fleet.
// Versions are chained by hash, so that two daemons can tell a shorter history from a
// different one.
package berylconfig
