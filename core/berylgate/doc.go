// Package berylgate decides for each request whether it is sent to a target
// now, to which, or refused.
//
// The model: engines serve in order of arrival and know no priorities, so what
// is sent to an engine is final. The gate of each daemon keeps an estimate of
// the work that lies before every target: its own dispatches at once, those of
// the other daemons from their reports, corrected by the time to the first
// token that its own requests see. A request is sent where it costs least, which
// counts the queue, the part of its prompt that the engine lacks, and the way
// there. It is sent only if its first token is then expected within the part of
// its objective that its organisation may use; otherwise it is refused at once,
// truthfully, as no target has seen it.
//
// Organisations that received less than their max-min share may use nearly the
// whole objective, others the less of it the further they are beyond. So the
// queues before the engines stay short enough for those who are owed service,
// and capacity that they leave is still used.
package berylgate
