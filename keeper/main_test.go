package keeper

import (
	"testing"

	"github.com/zeromicro/go-zero/core/logx"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	logx.Disable()
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}
