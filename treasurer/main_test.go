package treasurer_test

import (
	"flag"
	"os"
	"testing"

	"rattanhoist.example/rattanhoist/launcher"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": os.Getenv("FUZZ_SEED"), "rapid.checks": os.Getenv("FUZZ_CHECKS")} {
		if value == "" && name == "rapid.seed" {
			value = "20260101"
		}
		if value != "" {
			_ = flag.Set(name, value)
		}
	}
	launcher.Main(m)
}
