package home

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/identity"
)

// RecordSchema is the schema version of the records that this release writes.
const RecordSchema = 1

// keyPrefix separates the key of this stream from other uses of the fleet's
// secret.
const keyPrefix = "mustarddoor homes v1\n"

// maxRecordBytes bounds a record.
const maxRecordBytes = 1 << 20

// Errors of opening a record.
var (
	ErrMalformedRecord = eris.New("not a record of homes")
	ErrWrongMAC        = eris.New("record of homes with a wrong seal")
)

// Record is what one host says of its homes, in one append.
type Record struct {
	Schema int `cbor:"1,keyasint"`
	// Host names the process and its mesh address.
	Host identity.Host `cbor:"2,keyasint"`
	// LeaseMillis is how long the claims and renewals hold.
	LeaseMillis int64 `cbor:"3,keyasint"`
	// ReadTo is the offset up to which the host had read when it claimed.
	ReadTo uint64 `cbor:"4,keyasint,omitempty"`
	// Claim are endpoints that the host wants to be the home of.
	Claim []string `cbor:"5,keyasint,omitempty"`
	// Renew are the leases that go on, Release those that the host gives back.
	Renew   []LeaseRef `cbor:"6,keyasint,omitempty"`
	Release []LeaseRef `cbor:"7,keyasint,omitempty"`
	// Load asks for a turn at the weight store.
	Load *LoadReservation `cbor:"8,keyasint,omitempty"`
}

// LeaseRef is a lease that a host holds.
type LeaseRef struct {
	Endpoint string `cbor:"1,keyasint"`
	Fence    uint64 `cbor:"2,keyasint"`
	// Excluded tells that the endpoint does not run what the bundle wants yet.
	Excluded bool `cbor:"3,keyasint,omitempty"`
}

// LoadReservation asks for a turn at the weight store.
type LoadReservation struct {
	// PerMinute is the fleet's pace as the host knows it.
	PerMinute float64 `cbor:"1,keyasint"`
}

// authenticatedRecord is a record with its seal.
type authenticatedRecord struct {
	Body []byte `cbor:"1,keyasint"`
	MAC  []byte `cbor:"2,keyasint"`
}

// RecordCodec seals records with the secret that all hosts of the fleet share.
type RecordCodec struct {
	key []byte
}

// NewRecordCodec gives the sealer of a fleet.
func NewRecordCodec(fleetSecret string) *RecordCodec {
	key := sha256.Sum256([]byte(keyPrefix + fleetSecret))
	return &RecordCodec{key: key[:]}
}

func (c *RecordCodec) mac(body []byte) []byte {
	mac := hmac.New(sha256.New, c.key)
	mac.Write(body)
	return mac.Sum(nil)
}

// Encode seals a record.
func (c *RecordCodec) Encode(record Record) []byte {
	record.Schema = RecordSchema
	body := mustEncode(record)
	return mustEncode(authenticatedRecord{Body: body, MAC: c.mac(body)})
}

// Decode opens a record. It fails with ErrRecord or ErrSeal.
func (c *RecordCodec) Decode(data []byte) (Record, error) {
	var outer authenticatedRecord
	if len(data) > maxRecordBytes {
		return Record{}, eris.Wrapf(ErrMalformedRecord, "%d bytes", len(data))
	}
	if err := cbor.Unmarshal(data, &outer); err != nil {
		return Record{}, eris.Wrap(ErrMalformedRecord, err.Error())
	}
	if !hmac.Equal(outer.MAC, c.mac(outer.Body)) {
		return Record{}, ErrWrongMAC
	}
	var record Record
	if err := cbor.Unmarshal(outer.Body, &record); err != nil {
		return Record{}, eris.Wrap(ErrMalformedRecord, err.Error())
	}
	if record.Schema > RecordSchema {
		return Record{}, eris.Wrapf(ErrMalformedRecord, "schema %d", record.Schema)
	}
	return record, nil
}

// mustEncode encodes a value of the package's own types.
func mustEncode(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
