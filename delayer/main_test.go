package delayer_test

import (
	"testing"

	"zinniashore.example/seeder"
)

func TestMain(m *testing.M) { seeder.Run(m) }
