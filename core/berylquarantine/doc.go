// Package berylquarantine decides which requests are no longer sent to targets because
// targets crash when they run them.
//
// What crashes a target may be a part of a prompt, which unlike requests share, or a request as
// a whole, which its caller repeats under new ids. Both are suspects, identified by digests. Each
// crash names the suspects of the requests that had not begun to be answered when the target
// crashed, as daemons report them to each other. An answer that begins at a target that lives on
// clears the parts of its request.
//
// The suspect that most crashes have in common is blamed once CrashThreshold of them are left that
// no other suspect explains; what was only there beside it is not. Suspects that the crashes do
// not tell apart are blamed together: requests that have all of them are refused, while requests
// that have some of them run one at a time, which tells the suspects apart. So are a suspect with no
// more than CrashThreshold crashes and one that all but one of them had, which may have had another
// cause. Soon after its last crash, and once more after a further one, requests that a verdict
// refuses are tried, one at a time.
package berylquarantine
