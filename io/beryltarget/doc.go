// Package beryltarget reaches back ends over HTTP.
//
// The model: a model engine streams lines of JSON, each naming its request and
// the offset of its text, and an explicit last line. A plain service takes the
// caller's method, path and body. An error is a refusal whose verdict says
// whether the target may have executed the request: "not run" only while no byte
// of it can have reached the target, that is, before a connection was opened.
package beryltarget
