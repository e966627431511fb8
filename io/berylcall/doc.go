// Package berylcall is a caller of the fleet: it resolves an address, keeps it a
// while, streams drafts and resumes them, and files calls that run at most once.
package berylcall
