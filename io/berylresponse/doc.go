// Package berylresponse says which HTTP responses are valid, and which are complete.
//
// The parser of net/http accepts more than HTTP/1 allows: any three digits as a status, any version, and
// names of fields with blanks, which it then does not understand: "Content-Length : 5" states no length to it.
// What follows a head that is not valid need not be what its sender meant, so that such a response is none:
// nothing in it is passed on or believed.
package berylresponse
