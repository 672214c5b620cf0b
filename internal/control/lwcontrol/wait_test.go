package lwcontrol

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lavenderweir.example/lavenderweir/internal/base/lwlog"
	"lavenderweir.example/lavenderweir/internal/command/lwexplain"
	"lavenderweir.example/lavenderweir/internal/control/lwplacement"
)

// An operator who asks why a task waits must find the evacuation in the log of the leader.
func TestExplainNamesEvacuation(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg", EncodeDuration: zapcore.SecondsDurationEncoder})
	log := zap.New(zapcore.NewCore(encoder, zapcore.AddSync(&out), zap.InfoLevel))
	l := newLeader(&Node{decisionLog: lwlog.NewRateLimitedLogger(log, decisionsPerSecond)})
	l.logEvacuationWaits([]lwplacement.EvacuationWait{
		{Job: "j", Task: "j/0", Worker: "w", Domain: "minamata", Waited: time.Second},
		{Job: "other", Task: "other/0", Worker: "w", Domain: "minamata", Waited: time.Second},
	})
	for _, id := range []string{"j", "j/0"} {
		timeline, err := lwexplain.Read(strings.NewReader(out.String()), id)
		is.NoErr(err)
		is.Equal(fmt.Sprint(lwexplain.Summary(timeline)), "[1 x task_waits 1 x task_waits: domain minamata is evacuated]")
	}
}
