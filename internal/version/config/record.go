package config

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// RecordSchema is the schema version of the records that this release writes.
const RecordSchema = 1

// MaxRecordBytes bounds the size of a signed record.
const MaxRecordBytes = 8 << 20

// signaturePrefix separates record signatures from other uses of the same key.
const signaturePrefix = "mustarddoor config record v1\n"

// RestartWindow is the number of log offsets at which a restart is accepted. It
// limits how long a replayed copy of the record can take effect.
const RestartWindow = 256

const recordIDBytes = 16

// Errors of VerifyRecord.
var (
	ErrMalformedRecord  = eris.New("not a record")
	ErrUnknownSigner    = eris.New("unknown signer")
	ErrInvalidSignature = eris.New("wrong signature")
)

// Kind is a kind of record.
type Kind string

// The kinds of records.
const (
	KindPublish  Kind = "publish"
	KindApprove  Kind = "approve"
	KindRoll     Kind = "roll"
	KindMark     Kind = "domain-mark"
	KindVerdict  Kind = "verdict"
	KindSnapshot Kind = "snapshot"
)

// Role is the role of a record's signer, which determines the key.
type Role uint8

// The roles of signers.
const (
	RoleOperator Role = 1
	RoleHost     Role = 2
)

// Header holds the fields that are common to all records.
type Header struct {
	// Schema is the schema version of the body.
	Schema int    `cbor:"1,keyasint"`
	Kind   Kind   `cbor:"2,keyasint"`
	ID     string `cbor:"3,keyasint"`
	// Signer is the operator's or host's name.
	Signer string `cbor:"4,keyasint"`
	Role   Role   `cbor:"5,keyasint"`
	// Sequence increases with every record of a signer.
	Sequence uint64 `cbor:"6,keyasint"`
}

// Record is a decoded record.
type Record struct {
	Header
	// Body is the CBOR encoding of the kind's body.
	Body cbor.RawMessage
	// Raw is the signed record as stored in the log.
	Raw []byte
}

// payload is the part of a record that is signed.
type payload struct {
	Header
	Body cbor.RawMessage `cbor:"7,keyasint"`
}

// envelope is a payload with its signature.
type envelope struct {
	Payload   []byte `cbor:"1,keyasint"`
	Signature []byte `cbor:"2,keyasint"`
}

// PublishBody publishes a bundle.
type PublishBody struct {
	// Base is the version that was the newest when the operator wrote the
	// bundle; zero if there was none.
	Base uint64 `cbor:"1,keyasint"`
	// Schema is the bundle's schema version.
	Schema int    `cbor:"2,keyasint"`
	Name   string `cbor:"3,keyasint"`
	Digest string `cbor:"4,keyasint"`
	// Content is the bundle's canonical content, compressed.
	Content []byte `cbor:"5,keyasint"`
	// RestartAt, unless zero, makes the bundle accepted whatever its base is, at
	// the RestartWindow log offsets that start with RestartAt. It recovers from
	// the loss of log records that no host has read.
	RestartAt uint64 `cbor:"6,keyasint,omitempty"`
}

// ApproveBody approves a version.
type ApproveBody struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
}

// RollBody puts a version in force.
type RollBody struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
}

// MarkBody excludes a failure domain or includes it again.
type MarkBody struct {
	Domain   string `cbor:"1,keyasint"`
	Excluded bool   `cbor:"2,keyasint"`
	Reason   string `cbor:"3,keyasint"`
	Stamp    Stamp  `cbor:"4,keyasint"`
}

// VerdictBody carries the state of a version move with its verdict.
type VerdictBody struct {
	Move  MoveID    `cbor:"1,keyasint"`
	State MoveState `cbor:"2,keyasint"`
}

// SnapshotBody carries a host's state.
type SnapshotBody struct {
	State stateWire `cbor:"1,keyasint"`
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// mustEncMode returns a deterministic encoding: equal values have equal bytes.
func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:   cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// mustEncode encodes a value that is known to be encodable.
func mustEncode(value any) []byte {
	data, err := encMode.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// sign returns a signed record. The sequence must be greater than that of any
// earlier record of the signer.
func (s *Signer) sign(kind Kind, sequence uint64, body any) Record {
	header := Header{
		Schema:   RecordSchema,
		Kind:     kind,
		ID:       newRecordID(),
		Signer:   s.name,
		Role:     s.role,
		Sequence: sequence,
	}
	encoded := mustEncode(body)
	signed := mustEncode(payload{Header: header, Body: encoded})
	signature := ed25519.Sign(s.key, append([]byte(signaturePrefix), signed...))
	raw := mustEncode(envelope{Payload: signed, Signature: signature})
	return Record{Header: header, Body: encoded, Raw: raw}
}

func newRecordID() string {
	id := make([]byte, recordIDBytes)
	if _, err := rand.Read(id); err != nil {
		panic(err)
	}
	return hex.EncodeToString(id)
}

// VerifyRecord decodes a record and verifies its signature. It fails with
// ErrMalformedRecord, ErrUnknownSigner or ErrInvalidSignature.
func VerifyRecord(raw []byte, keys *Keyring) (Record, error) {
	outer, record, err := decodeEnvelope(raw)
	if err != nil {
		return Record{}, err
	}
	key := keys.publicKey(record.Role, record.Signer)
	if key == nil {
		return Record{}, eris.Wrapf(ErrUnknownSigner, "%q", record.Signer)
	}
	message := append([]byte(signaturePrefix), outer.Payload...)
	if !ed25519.Verify(key, message, outer.Signature) {
		return Record{}, eris.Wrapf(ErrInvalidSignature, "record of %q", record.Signer)
	}
	return record, nil
}

// decodeUnverified decodes a record without a check of its signature, for records
// that another host has verified.
func decodeUnverified(raw []byte) (Record, error) {
	_, record, err := decodeEnvelope(raw)
	return record, err
}

// decodeEnvelope decodes a record and its envelope without a check of the
// signature.
func decodeEnvelope(raw []byte) (envelope, Record, error) {
	var outer envelope
	if len(raw) > MaxRecordBytes {
		return envelope{}, Record{}, eris.Wrapf(ErrMalformedRecord, "%d bytes are too many", len(raw))
	}
	if err := decMode.Unmarshal(raw, &outer); err != nil {
		return envelope{}, Record{}, eris.Wrap(ErrMalformedRecord, err.Error())
	}
	var inner payload
	if err := decMode.Unmarshal(outer.Payload, &inner); err != nil {
		return envelope{}, Record{}, eris.Wrap(ErrMalformedRecord, err.Error())
	}
	return outer, Record{Header: inner.Header, Body: inner.Body, Raw: raw}, nil
}
