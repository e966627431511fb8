// Package berylmodel emulates model engines and a whole fleet under load, in
// virtual time and without a network.
//
// The model: an engine works in steps. Each step reads one chunk of the oldest
// prompt that is not read yet and makes one token for every request that runs.
// Requests are let in as they come while a slot and memory are free. Parts of
// prompts stay in the memory that running requests leave, the least recently
// used yield. A fleet is some gates (core/berylgate) that hear from each other
// with a lag, the engines, and a load of organisations and kinds of requests.
//
// It compares policies on the same load in a second of real time; how far its
// engines are from those of a deployment is written in docs/MEASUREMENTS.md.
package berylmodel
