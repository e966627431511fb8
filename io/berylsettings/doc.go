// Package berylsettings reads the settings of a daemon: JSON with comments,
// strict, every fault named with its line and field.
package berylsettings
