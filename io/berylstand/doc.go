// Package berylstand holds small stand-ins for what surrounds the fleet: the
// platform, model engines and plain services, and a relay that cuts or
// swallows what passes between processes. They serve tests, the demo and
// measurements, and speak the protocols that the real ones publish.
package berylstand
