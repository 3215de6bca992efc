package seater

import (
	"flag"
	"testing"

	"github.com/zeromicro/go-zero/core/logx"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	logx.Disable()
	for name, value := range map[string]string{"rapid.checks": "80", "rapid.steps": "20"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}
