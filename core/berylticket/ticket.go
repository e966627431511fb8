package berylticket

// This file defines tickets, request ids and their seals.

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"berylspoke"
)

// Ticket names the processes that together may dispatch the ids under it; a zero Witness
// means that the owner found none.
type Ticket struct {
	Owner   berylspoke.Process
	Witness berylspoke.Process
	Serial  uint64
}

// CallID identifies one non-idempotent request under a ticket.
type CallID struct {
	Ticket Ticket
	Number uint32
}

// MaxCalls is the number of requests that one ticket can number.
const MaxCalls = 1024

const (
	separator = "~"
	sealBytes = 12
)

// Sealer seals tickets with the fleet's key, so that a caller can neither forge a ticket
// nor use one of another organisation.
type Sealer struct{ key []byte }

// NewSealer returns a sealer for the fleet's key.
func NewSealer(key []byte) *Sealer { return &Sealer{key: key} }

func (sealer *Sealer) seal(organisation berylspoke.OrganisationID, body string) string {
	mac := hmac.New(sha256.New, sealer.key)
	mac.Write([]byte("ticket\x00" + string(organisation) + "\x00" + body))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:sealBytes])
}

// Format returns a sealed ticket for the callers of an organisation.
func (sealer *Sealer) Format(organisation berylspoke.OrganisationID, ticket Ticket) string {
	body := strings.Join([]string{
		string(ticket.Owner.VM), ticket.Owner.Incarnation.String(),
		string(ticket.Witness.VM), ticket.Witness.Incarnation.String(),
		strconv.FormatUint(ticket.Serial, 16),
	}, separator)
	return body + separator + sealer.seal(organisation, body)
}

// FormatCall returns the id of a request under a formatted ticket.
func FormatCall(ticket string, number uint32) string {
	return ticket + separator + strconv.FormatUint(uint64(number), 10)
}

// ParseCall parses a request id and rejects one without the seal of the organisation.
func (sealer *Sealer) ParseCall(organisation berylspoke.OrganisationID, text string) (CallID, error) {
	fields := strings.Split(text, separator)
	if len(fields) != 7 {
		return CallID{}, errors.Errorf("request id %.80q has %d fields, want 7", text, len(fields))
	}
	body := strings.Join(fields[:5], separator)
	if !hmac.Equal([]byte(sealer.seal(organisation, body)), []byte(fields[5])) {
		return CallID{}, errors.New("request id carries no seal of this organisation")
	}
	owner, errOwner := strconv.ParseUint(fields[1], 16, 64)
	witness, errWitness := strconv.ParseUint(fields[3], 16, 64)
	serial, errSerial := strconv.ParseUint(fields[4], 16, 64)
	number, errNumber := strconv.ParseUint(fields[6], 10, 32)
	if errOwner != nil || errWitness != nil || errSerial != nil || errNumber != nil || number >= MaxCalls {
		return CallID{}, errors.Errorf("request id %.80q holds a number out of range", text)
	}
	return CallID{
		Ticket: Ticket{
			Owner:   berylspoke.Process{VM: berylspoke.VMID(fields[0]), Incarnation: berylspoke.Incarnation(owner)},
			Witness: berylspoke.Process{VM: berylspoke.VMID(fields[2]), Incarnation: berylspoke.Incarnation(witness)},
			Serial:  serial,
		},
		Number: uint32(number),
	}, nil
}

// String returns the id without its seal, for logs.
func (id CallID) String() string {
	return fmt.Sprintf("%s/%d/%d", id.Ticket.Owner, id.Ticket.Serial, id.Number)
}
