// Package berylplatform is a read-only client of the platform's configuration service,
// which publishes numbered patches and the list of VMs.
package berylplatform
