package home

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/identity"
)

// RecordSchema is the schema version of records written by this release.
const RecordSchema = 1

// keyPrefix separates the MAC key of this stream from other keys derived from
// the fleet secret.
const keyPrefix = "mustarddoor homes v1\n"

// maxRecordBytes is the maximum size of an encoded record.
const maxRecordBytes = 1 << 20

// Errors of RecordCodec.Decode.
var (
	ErrMalformedRecord = eris.New("malformed home record")
	ErrWrongMAC        = eris.New("wrong MAC of a home record")
)

// Record holds the claims, renewals and releases that one host appends at a
// time.
type Record struct {
	Schema int `cbor:"1,keyasint"`
	// Host identifies the process and its peer address.
	Host identity.Host `cbor:"2,keyasint"`
	// LeaseMillis is the TTL of the claims and renewals.
	LeaseMillis int64 `cbor:"3,keyasint"`
	// ReadTo is the offset up to which the host had read the stream when it
	// wrote the claims.
	ReadTo uint64 `cbor:"4,keyasint,omitempty"`
	// Claim lists the endpoints that the host wants to be the home of.
	Claim []string `cbor:"5,keyasint,omitempty"`
	// Renew lists the leases that the host extends, Release those that it gives
	// up.
	Renew   []LeaseRef `cbor:"6,keyasint,omitempty"`
	Release []LeaseRef `cbor:"7,keyasint,omitempty"`
	// Load requests a load from the weight store.
	Load *LoadReservation `cbor:"8,keyasint,omitempty"`
}

// LeaseRef identifies a lease by endpoint and fencing token.
type LeaseRef struct {
	Endpoint string `cbor:"1,keyasint"`
	Fence    uint64 `cbor:"2,keyasint"`
	// Excluded is set while the endpoint doesn't run what the bundle specifies.
	Excluded bool `cbor:"3,keyasint,omitempty"`
}

// LoadReservation requests a load from the weight store.
type LoadReservation struct {
	// PerMinute is the fleet-wide load rate that the host has configured.
	PerMinute float64 `cbor:"1,keyasint"`
}

// authenticatedRecord is an encoded record with its message authentication
// code.
type authenticatedRecord struct {
	Body []byte `cbor:"1,keyasint"`
	MAC  []byte `cbor:"2,keyasint"`
}

// RecordCodec encodes records and authenticates them with the secret that all
// hosts of the fleet share.
type RecordCodec struct {
	key []byte
}

// NewRecordCodec returns the codec of the fleet with the given secret.
func NewRecordCodec(fleetSecret string) *RecordCodec {
	key := sha256.Sum256([]byte(keyPrefix + fleetSecret))
	return &RecordCodec{key: key[:]}
}

func (c *RecordCodec) mac(body []byte) []byte {
	mac := hmac.New(sha256.New, c.key)
	mac.Write(body)
	return mac.Sum(nil)
}

// Encode encodes a record with its MAC.
func (c *RecordCodec) Encode(record Record) []byte {
	record.Schema = RecordSchema
	body := mustEncode(record)
	return mustEncode(authenticatedRecord{Body: body, MAC: c.mac(body)})
}

// Decode verifies and decodes a record. It fails with ErrMalformedRecord or
// ErrWrongMAC.
func (c *RecordCodec) Decode(data []byte) (Record, error) {
	var envelope authenticatedRecord
	if len(data) > maxRecordBytes {
		return Record{}, eris.Wrapf(ErrMalformedRecord, "%d bytes exceed the size limit", len(data))
	}
	if err := cbor.Unmarshal(data, &envelope); err != nil {
		return Record{}, eris.Wrap(ErrMalformedRecord, err.Error())
	}
	if !hmac.Equal(envelope.MAC, c.mac(envelope.Body)) {
		return Record{}, ErrWrongMAC
	}
	var record Record
	if err := cbor.Unmarshal(envelope.Body, &record); err != nil {
		return Record{}, eris.Wrap(ErrMalformedRecord, err.Error())
	}
	if record.Schema > RecordSchema {
		return Record{}, eris.Wrapf(ErrMalformedRecord, "unsupported schema version %d", record.Schema)
	}
	return record, nil
}

// mustEncode encodes a value of one of the package's own types, for which
// encoding can't fail.
func mustEncode(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
