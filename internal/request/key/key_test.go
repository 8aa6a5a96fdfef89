package key_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/key"
)

func TestKeyRoundTrip(t *testing.T) {
	session := key.Session{
		Owner:        identity.Incarnation{Host: "host-1", Number: 7},
		Witness:      identity.Incarnation{Host: "host-2", Number: 1 << 40},
		Nonce:        99,
		IssuedMillis: 1_700_000_000_000,
	}
	want := key.Key{Session: session, Part: "order-17"}
	got, err := key.Parse(want.String())
	assert.NilError(t, err)
	assert.Equal(t, got, want)
}

func TestParseRefuses(t *testing.T) {
	texts := []string{
		"", "/", "a", "a@1.-.1.1", "a@1.-.1.1/", "a@1.-.1.1/a b", "-.-.1.1/x",
		"a@01.-.1.1/x", "A@1.-.1.1/x", "a@1.-.1/x", "a@1.b.1.1/x", "a@1.-.1.1/x/y",
	}
	for _, text := range texts {
		_, err := key.Parse(text)
		assert.ErrorIs(t, err, key.ErrSyntax, "%q", text)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("host-1@7.host-2@9.1.kx/order-17")
	f.Add("host-1@7.-.1.kx/a")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := key.Parse(text)
		if err == nil {
			assert.Equal(t, parsed.String(), text)
		}
	})
}
