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

// sealPrefix separates the key of this stream from other uses of the fleet's
// secret.
const sealPrefix = "mustarddoor homes v1\n"

// maxRecordBytes bounds a record.
const maxRecordBytes = 1 << 20

// Errors of opening a record.
var (
	ErrRecord = eris.New("not a record of homes")
	ErrSeal   = eris.New("record of homes with a wrong seal")
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
	Renew   []Held `cbor:"6,keyasint,omitempty"`
	Release []Held `cbor:"7,keyasint,omitempty"`
	// Load asks for a turn at the weight store.
	Load *LoadTurn `cbor:"8,keyasint,omitempty"`
}

// Held is a lease that a host holds.
type Held struct {
	Endpoint string `cbor:"1,keyasint"`
	Fence    uint64 `cbor:"2,keyasint"`
	// Unfit tells that the endpoint does not run what the bundle wants yet.
	Unfit bool `cbor:"3,keyasint,omitempty"`
}

// LoadTurn asks for a turn at the weight store.
type LoadTurn struct {
	// PerMinute is the fleet's pace as the host knows it.
	PerMinute float64 `cbor:"1,keyasint"`
}

// sealed is a record with its seal.
type sealed struct {
	Body []byte `cbor:"1,keyasint"`
	Seal []byte `cbor:"2,keyasint"`
}

// Sealer seals records with the secret that all hosts of the fleet share.
type Sealer struct {
	key []byte
}

// NewSealer gives the sealer of a fleet.
func NewSealer(fleetSecret string) *Sealer {
	key := sha256.Sum256([]byte(sealPrefix + fleetSecret))
	return &Sealer{key: key[:]}
}

func (s *Sealer) seal(body []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write(body)
	return mac.Sum(nil)
}

// Encode seals a record.
func (s *Sealer) Encode(record Record) []byte {
	record.Schema = RecordSchema
	body := mustEncode(record)
	return mustEncode(sealed{Body: body, Seal: s.seal(body)})
}

// Decode opens a record. It fails with ErrRecord or ErrSeal.
func (s *Sealer) Decode(data []byte) (Record, error) {
	var outer sealed
	if len(data) > maxRecordBytes {
		return Record{}, eris.Wrapf(ErrRecord, "%d bytes", len(data))
	}
	if err := cbor.Unmarshal(data, &outer); err != nil {
		return Record{}, eris.Wrap(ErrRecord, err.Error())
	}
	if !hmac.Equal(outer.Seal, s.seal(outer.Body)) {
		return Record{}, ErrSeal
	}
	var record Record
	if err := cbor.Unmarshal(outer.Body, &record); err != nil {
		return Record{}, eris.Wrap(ErrRecord, err.Error())
	}
	if record.Schema > RecordSchema {
		return Record{}, eris.Wrapf(ErrRecord, "schema %d", record.Schema)
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
