package rollout

import (
	"flag"
	"os"
	"testing"
)

// propertySeed makes property tests draw the same values in every run.
const propertySeed = "20260101"

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": propertySeed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
