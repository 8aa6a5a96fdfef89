package config

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/identity"
)

// ErrInvalidKey is returned for a text that is not an ed25519 key in base64, and for a
// fleet secret that is too short.
var ErrInvalidKey = eris.New("not an ed25519 key")

// MinSecretBytes is the least length of a fleet secret.
const MinSecretBytes = 16

// fleetKeyPrefix separates the fleet key from other uses of the fleet secret.
const fleetKeyPrefix = "mustarddoor fleet key v1\n"

// Keyring holds the keys that records are checked with, and the fleet key that
// hosts sign with.
type Keyring struct {
	operators map[string]ed25519.PublicKey
	fleet     ed25519.PrivateKey
}

// NewKeyring makes a keyring from operators' public keys in base64, by name,
// and the secret that all hosts of the fleet share. It fails with ErrKey.
func NewKeyring(operators map[string]string, fleetSecret string) (*Keyring, error) {
	if len(fleetSecret) < MinSecretBytes {
		return nil, eris.Wrapf(ErrInvalidKey, "fleet secret of less than %d bytes", MinSecretBytes)
	}
	keys := &Keyring{operators: map[string]ed25519.PublicKey{}, fleet: FleetKey(fleetSecret)}
	for name, text := range operators {
		key, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(key) != ed25519.PublicKeySize {
			return nil, eris.Wrapf(ErrInvalidKey, "public key of operator %q", name)
		}
		if !identity.IsValidName(name) {
			return nil, eris.Wrapf(ErrInvalidKey, "operator name %q", name)
		}
		keys.operators[name] = key
	}
	return keys, nil
}

// FleetKey derives the key that hosts sign with from the fleet's secret.
func FleetKey(secret string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(fleetKeyPrefix + secret))
	return ed25519.NewKeyFromSeed(seed[:])
}

// publicKey gives the key that a signer's records are checked with, or nil.
func (k *Keyring) publicKey(role Role, signer string) ed25519.PublicKey {
	switch role {
	case RoleOperator:
		return k.operators[signer]
	case RoleHost:
		return k.fleet.Public().(ed25519.PublicKey)
	default:
		return nil
	}
}

// hostSigner gives the signer of a hostSigner's own records.
func (k *Keyring) hostSigner(name string) *Signer {
	return &Signer{role: RoleHost, name: name, key: k.fleet}
}

// Signer signs records under one name.
type Signer struct {
	role Role
	name string
	key  ed25519.PrivateKey
}

// KeyPair is an operator's key pair in base64. Private holds the seed.
type KeyPair struct {
	Private string `json:"private"`
	Public  string `json:"public"`
}

// GenerateKey makes a key pair for an operator.
func GenerateKey() (KeyPair, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return KeyPair{}, eris.Wrap(err, "generating a key")
	}
	return KeyPair{
		Private: base64.StdEncoding.EncodeToString(private.Seed()),
		Public:  base64.StdEncoding.EncodeToString(public),
	}, nil
}

// NewOperatorSigner gives the signer of an operator from KeyPair.Private. It
// fails with ErrKey.
func NewOperatorSigner(name, private string) (*Signer, error) {
	seed, err := base64.StdEncoding.DecodeString(private)
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, eris.Wrap(ErrInvalidKey, "private key")
	}
	if !identity.IsValidName(name) {
		return nil, eris.Wrapf(ErrInvalidKey, "operator name %q", name)
	}
	return &Signer{role: RoleOperator, name: name, key: ed25519.NewKeyFromSeed(seed)}, nil
}

// Name is the name that the signer signs under.
func (s *Signer) Name() string { return s.name }
