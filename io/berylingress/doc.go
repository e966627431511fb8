// Package berylingress bounds what callers make a process hold: it counts connections, heads, bodies and answers
// in the ledger of package berylintake, from the first byte on.
package berylingress
