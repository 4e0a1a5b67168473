package keeper_test

import (
	"testing"

	"rattanhoist.example/rattanhoist/launcher"
)

func TestMain(m *testing.M) { launcher.Main(m) }
