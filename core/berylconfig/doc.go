// Package berylconfig folds the published patches into the declarations in
// force.
//
// The model: the platform publishes a numbered sequence of entries. Each entry
// is a patch that names the version it was made against. Every reader folds the
// same sequence by the same rule: an entry made against the version in force
// and leading to valid declarations becomes the next version; any other entry
// is rejected and changes nothing. So a race of two operators has one winner
// everywhere without any write of ours. Versions are chained by hash, which
// lets two daemons tell a shorter history from a different one.
package berylconfig
