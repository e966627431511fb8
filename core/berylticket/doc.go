// Package berylticket makes non-idempotent requests run at most once without
// shared state.
//
// The model: a daemon, the owner, mints a ticket that names its own process and
// the process of a witness in another failure domain. A caller numbers its
// requests under the ticket; ticket and number are the request's id. Only the
// named owner process may dispatch the id, and only after the named witness
// process has issued a permit for it. Whoever has to settle an id whose owner
// does not answer closes it at the witness first. The witness decides between
// permit and close by whichever comes first, so a closed id is never
// dispatched: "not run" is true for good. A permitted id whose owner is gone
// may have run, and is reported so.
//
// A process that restarts is another process: an owner forgets its tickets and
// nobody may dispatch them any more, a witness issues no permit for tickets
// that name an earlier process of its VM. No clock is part of the argument.
// Memory is bounded by watermarks: below one, a permit is refused and a close is
// answered with "may have run".
package berylticket
