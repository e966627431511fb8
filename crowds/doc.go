// Package berylcrowds plays crowds of callers that do not behave against real processes: it checks that a
// process lives, that its memory and its descriptors stay within those of its VM, and that an ordinary
// caller is answered beside the crowd and after it.
//
// Its tests have the build tag crowds and run one at a time, apart from other load.
package berylcrowds
