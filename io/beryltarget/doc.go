// Package beryltarget is the HTTP client of targets.
//
// A model engine streams lines of JSON, each with the id of its request and the offset
// of its text, and marks the last line. A plain service gets the method, path and body
// of the caller. A failed request returns a refusal whose verdict says whether the target
// may have executed the request. The verdict is NotRun only if no byte of the request can
// have reached the target, that is, if no connection was opened.
package beryltarget
