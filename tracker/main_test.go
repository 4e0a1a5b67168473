package tracker

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the fuzz tests. FUZZ_SEED and FUZZ_CHECKS select
// another seed and the number of checks.
func TestMain(m *testing.M) {
	flag.Parse()
	set("rapid.seed", "FUZZ_SEED", "20261202")
	set("rapid.checks", "FUZZ_CHECKS", "500")
	set("rapid.steps", "FUZZ_STEPS", "150")
	os.Exit(m.Run())
}

func set(name, env, value string) {
	if v := os.Getenv(env); v != "" {
		value = v
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
