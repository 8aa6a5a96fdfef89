// Package key defines sessions and request keys.
//
// Any host can issue a session to a caller. It names the two host incarnations
// that are responsible for the caller's requests, and never changes: the owner,
// the only host that may dispatch them, and the witness, which still knows their
// state after a crash of the owner. A request key is a session plus a part that
// the caller chooses; equal keys identify the same request.
package key

import (
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/identity"
)

// MaxPartBytes is the maximum length of the part that the caller chooses.
const MaxPartBytes = 128

const (
	fieldSeparator = "."
	partSeparator  = "/"
	sessionFields  = 4
)

// ErrSyntax is returned when a text is not a valid session or key.
var ErrSyntax = eris.New("not a valid request key or session")

// Session binds a caller's requests to an owner and a witness.
type Session struct {
	// Owner is the only host incarnation that may dispatch the session's requests.
	Owner identity.Incarnation `cbor:"1,keyasint"`
	// Witness records intents before dispatch. It is zero if the owner had no
	// peer when the session was issued.
	Witness identity.Incarnation `cbor:"2,keyasint"`
	// Nonce distinguishes the sessions of one owner.
	Nonce uint64 `cbor:"3,keyasint"`
	// IssuedMillis is the time of issue, in Unix milliseconds by the owner's
	// clock.
	IssuedMillis int64 `cbor:"4,keyasint"`
}

// Key identifies one request of one caller.
type Key struct {
	Session Session `cbor:"1,keyasint"`
	// Part is chosen by the caller: 1 to MaxPartBytes printable ASCII
	// characters other than '/' and space.
	Part string `cbor:"2,keyasint"`
}

// String formats the session as owner.witness.nonce.issued.
func (s Session) String() string {
	fields := []string{
		s.Owner.String(),
		s.Witness.String(),
		strconv.FormatUint(s.Nonce, 36),
		strconv.FormatInt(s.IssuedMillis, 36),
	}
	return strings.Join(fields, fieldSeparator)
}

// Issued returns the time of issue, by the owner's clock.
func (s Session) Issued() time.Time { return time.UnixMilli(s.IssuedMillis) }

// String formats the key as session/part.
func (k Key) String() string { return k.Session.String() + partSeparator + k.Part }

// ParseSession parses the result of Session.String. It fails with ErrSyntax.
func ParseSession(text string) (Session, error) {
	fields := strings.Split(text, fieldSeparator)
	if len(fields) != sessionFields {
		return Session{}, eris.Wrapf(ErrSyntax, "session %q", text)
	}
	owner, err := identity.ParseIncarnation(fields[0])
	if err != nil || owner.IsZero() {
		return Session{}, eris.Wrapf(ErrSyntax, "invalid owner in session %q", text)
	}
	witness, err := identity.ParseIncarnation(fields[1])
	if err != nil {
		return Session{}, eris.Wrapf(ErrSyntax, "invalid witness in session %q", text)
	}
	nonce, err := strconv.ParseUint(fields[2], 36, 64)
	if err != nil {
		return Session{}, eris.Wrapf(ErrSyntax, "invalid nonce in session %q", text)
	}
	issued, err := strconv.ParseInt(fields[3], 36, 64)
	if err != nil {
		return Session{}, eris.Wrapf(ErrSyntax, "invalid time of issue in session %q", text)
	}
	session := Session{Owner: owner, Witness: witness, Nonce: nonce, IssuedMillis: issued}
	if session.String() != text {
		return Session{}, eris.Wrapf(ErrSyntax, "session %q is not in canonical form", text)
	}
	return session, nil
}

// Parse parses the result of Key.String. It fails with ErrSyntax.
func Parse(text string) (Key, error) {
	sessionText, part, found := strings.Cut(text, partSeparator)
	if !found || !IsValidPart(part) {
		return Key{}, eris.Wrapf(ErrSyntax, "%q", text)
	}
	session, err := ParseSession(sessionText)
	if err != nil {
		return Key{}, err
	}
	return Key{Session: session, Part: part}, nil
}

// IsValidPart reports whether text can be the Part of a key.
func IsValidPart(text string) bool {
	if text == "" || len(text) > MaxPartBytes {
		return false
	}
	for _, r := range text {
		if r <= ' ' || r > '~' || r == '/' {
			return false
		}
	}
	return true
}

// Hash returns a hash of the whole key. Different keys may have the same hash.
func (k Key) Hash() uint64 {
	var buffer [maxHashedBytes]byte
	bytes := appendIncarnation(buffer[:0], k.Session.Owner)
	bytes = appendIncarnation(bytes, k.Session.Witness)
	bytes = binary.BigEndian.AppendUint64(bytes, k.Session.Nonce)
	bytes = binary.BigEndian.AppendUint64(bytes, uint64(k.Session.IssuedMillis))
	bytes = append(bytes, k.Part...)
	return xxhash.Sum64(bytes)
}

// maxHashedBytes is the size of two incarnations, two numbers and the longest
// part.
const maxHashedBytes = 2*(63+1+8) + 2*8 + MaxPartBytes

func appendIncarnation(bytes []byte, incarnation identity.Incarnation) []byte {
	bytes = append(bytes, incarnation.Host...)
	bytes = append(bytes, 0)
	return binary.BigEndian.AppendUint64(bytes, incarnation.Number)
}
