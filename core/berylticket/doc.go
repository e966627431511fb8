// Package berylticket makes non-idempotent requests run at most once without shared
// state.
//
// A daemon, the owner, mints a ticket that names its own process and the process of a
// witness in another failure domain. A caller numbers its requests under the ticket;
// ticket and number form the request id. Only the named owner process may dispatch the
// id, and only after the named witness process has granted a permit for it. A daemon that
// settles an id whose owner does not answer first closes it at the witness. Of a permit
// request and a close the witness accepts only the first to arrive, so a closed id is
// never dispatched: "not run" is final. A permitted id whose owner is gone may have run,
// and is reported as such.
//
// A restarted daemon is a new process. Ids whose owner was the earlier process can no
// longer be dispatched, and a restarted witness grants no permit for tickets that name its
// earlier process. Correctness does not depend on clocks. Watermarks bound the memory:
// below them a permit is denied and a close is answered with "may have run".
package berylticket
