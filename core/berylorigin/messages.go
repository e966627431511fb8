package berylorigin

// This file defines the messages between daemons.

import (
	"time"

	"berylspoke"
)

// Began tells holders which builds began streams.
type Began struct {
	Records []Record
}

// Question asks a holder which build began a stream.
type Question struct {
	Key Key
	// Service is the only service that may have begun it, empty if there are several.
	Service berylspoke.ServiceID
}

// Answer is the answer to a question.
type Answer struct {
	Key Key
	// Known is set if the sender has a record of the stream.
	Known bool
	Build berylspoke.Build
	// Only is set if the sender has no record of the stream, but knows that no other build of
	// the service can have begun it.
	Only bool
}

// Inquiry asks a daemon for its account of the builds, as the sender does not know all that may
// have begun a stream. Its number is that of the account that answers it.
type Inquiry struct {
	Number uint32
}

// GoneBuild is a build that has no targets, and for how long.
type GoneBuild struct {
	Service berylspoke.ServiceID
	Version berylspoke.SoftwareVersion
	Build   berylspoke.Build
	Age     time.Duration
}

// Account is what a daemon knows of the builds that may have begun a stream, beside those that are
// published: those that are gone.
type Account struct {
	Number uint32
	// Age is how long ago the sender knew all targets, Gapless for how long it has missed no change
	// before that, on its own or by the account of another. Unbounded is set if it knows all
	// builds since the start of the fleet.
	Age, Gapless time.Duration
	Unbounded    bool
	Gone         []GoneBuild
}

// MaxGone is the number of builds in an account at most, so that it fits a datagram.
const MaxGone = 16

// PeerMessage implements berylspoke.Message.
func (Inquiry) PeerMessage() {}

// PeerMessage implements berylspoke.Message.
func (Account) PeerMessage() {}

// PeerMessage implements berylspoke.Message.
func (Began) PeerMessage() {}

// PeerMessage implements berylspoke.Message.
func (Question) PeerMessage() {}

// PeerMessage implements berylspoke.Message.
func (Answer) PeerMessage() {}

// MaxRecords is the number of records in one message at most, so that it fits a datagram.
const MaxRecords = 32
