// Package berylgate decides for each request whether to send it to a target now, and to
// which one, or to refuse it.
//
// Engines serve requests in order of arrival and have no priorities, so a request that
// was sent to an engine can be neither reordered nor recalled. The gate of each daemon
// estimates the work queued at every target: its own dispatches count at once, those of
// other daemons when they are reported, and the time to first token of its own requests
// corrects the estimate. A request goes to the target with the lowest cost, which
// covers the queue, the prefill of the part of its prompt that the engine has not
// cached, and the network latency. It is sent only if its first token is then expected
// within the part of its objective that its organisation may use. Otherwise it is
// refused at once, and the caller can rely on the statement that it did not run, as no
// target has received it.
//
// In a large fleet a daemon sends one target few requests. Daemons therefore share how long
// requests wait at each target and which targets do not answer. Targets of which nothing
// recent is known are taken to be as busy as the others, and a daemon that has just started
// sends more only as answers return.
//
// What a decision costs does not grow with the number of targets: an index yields the homes
// of a prompt and a bounded number of candidates near and far.
//
// Organisations that were served less than their max-min level may use nearly the whole
// objective, others less of it the further they are beyond their level. This keeps
// queues short enough for organisations that are below their level, while capacity that
// they leave unused serves others.
package berylgate
