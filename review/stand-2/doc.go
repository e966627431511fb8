// Command stand-2 plays the cases of the second review: it starts the project's program as
// separate processes, with the project's stand-ins of the store, the engines and the callers,
// disturbs them, and judges what callers and engines saw.
package main
