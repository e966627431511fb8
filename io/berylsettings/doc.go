// Package berylsettings reads the settings of a daemon from JSON with comments. Unknown
// fields are errors; errors name the line or the field.
package berylsettings
