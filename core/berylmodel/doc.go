// Package berylmodel simulates model engines and a whole fleet under load, in virtual
// time and without a network.
//
// An engine works in steps. Each step prefills one chunk of the oldest prompt that is not
// prefilled yet and generates one token for every request whose prompt is prefilled.
// Requests are admitted in order of arrival while a slot and memory are free. Prompt
// segments stay cached in the memory that running requests do not use; the least recently
// used are evicted. A fleet consists of gates (core/berylgate) that receive each other's
// reports with a delay, the engines, and a load of organisations and kinds of requests.
//
// The simulation compares policies on the same load in a second of real time;
// docs/MEASUREMENTS.md says how far its engines deviate from those of a deployment.
package berylmodel
