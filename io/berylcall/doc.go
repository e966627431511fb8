// Package berylcall is a client of the fleet for callers. It resolves and caches the
// addresses of daemons, streams generation requests and resumes them at other daemons,
// and sends calls that run at most once.
package berylcall
