package config

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/identity"
)

// ErrInvalidKey is returned for a text that is not an ed25519 key in base64, for
// an operator name that is not valid, and for a fleet secret that is too short.
var ErrInvalidKey = eris.New("invalid key")

// MinSecretBytes is the minimum length of a fleet secret.
const MinSecretBytes = 16

// fleetKeyPrefix separates the fleet key from other uses of the fleet secret.
const fleetKeyPrefix = "mustarddoor fleet key v1\n"

// Keyring holds the keys that verify records, and the fleet key that hosts sign
// with.
type Keyring struct {
	operators map[string]ed25519.PublicKey
	fleet     ed25519.PrivateKey
}

// NewKeyring returns a keyring with operators' public keys, given in base64 by
// name, and the fleet key, which is derived from the secret that all hosts
// share. It fails with ErrInvalidKey.
func NewKeyring(operators map[string]string, fleetSecret string) (*Keyring, error) {
	if len(fleetSecret) < MinSecretBytes {
		return nil, eris.Wrapf(ErrInvalidKey, "fleet secret is shorter than %d bytes", MinSecretBytes)
	}
	keys := &Keyring{operators: map[string]ed25519.PublicKey{}, fleet: FleetKey(fleetSecret)}
	for name, text := range operators {
		key, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(key) != ed25519.PublicKeySize {
			return nil, eris.Wrapf(ErrInvalidKey, "public key of operator %q is not an ed25519 key in base64", name)
		}
		if !identity.IsValidName(name) {
			return nil, eris.Wrapf(ErrInvalidKey, "operator name %q is not valid", name)
		}
		keys.operators[name] = key
	}
	return keys, nil
}

// FleetKey derives the hosts' signing key from the fleet secret.
func FleetKey(secret string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(fleetKeyPrefix + secret))
	return ed25519.NewKeyFromSeed(seed[:])
}

// publicKey returns the key that verifies a signer's records, or nil.
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

// hostSigner returns the signer of a host's own records.
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

// GenerateKey generates a key pair for an operator.
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

// NewOperatorSigner returns the signer of an operator from KeyPair.Private. It
// fails with ErrInvalidKey.
func NewOperatorSigner(name, private string) (*Signer, error) {
	seed, err := base64.StdEncoding.DecodeString(private)
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, eris.Wrap(ErrInvalidKey, "private key is not an ed25519 seed in base64")
	}
	if !identity.IsValidName(name) {
		return nil, eris.Wrapf(ErrInvalidKey, "operator name %q is not valid", name)
	}
	return &Signer{role: RoleOperator, name: name, key: ed25519.NewKeyFromSeed(seed)}, nil
}

// Name returns the name that the signer signs under.
func (s *Signer) Name() string { return s.name }
