// Package berylplatform reads what the platform publishes: the numbered patches
// and the list of VMs. It never writes.
package berylplatform
