// Package berylfleet lays out whole deployments on loopback addresses: the fakes of
// the platform and the targets, the declarations, and the settings of each daemon.
// The demo, the load tool and the tests start their fleets from it.
package berylfleet
