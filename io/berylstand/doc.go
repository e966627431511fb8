// Package berylstand provides small fakes of what surrounds the fleet: the
// platform, model engines and plain services, and relays that drop or delay the
// traffic between processes. They serve tests, the demo and measurements, and speak
// the protocols that the real systems publish.
package berylstand
