// Package berylorigin tracks which build began each stream, so that a stream that its caller
// takes up at another daemon goes on at the same one.
//
// A daemon tells the build of a stream to a few holders, daemons that follow from the stream's
// key, before it forwards the first event, and in a small fleet to all others soon after. A daemon
// at which a stream is taken up asks them.
// While a service has had one build only, nothing is told or asked: Versions says so, and a new
// build gets no streams until all daemons that are up to date know it. A daemon that has just
// started asks others for their account of the builds that are gone; while one asks, streams are
// told. What nobody knows is never guessed.
package berylorigin
