package lwdemo_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"lavenderweir.example/lavenderweir/internal/command/lwdemo"
)

func TestDemoWalksThroughBothDeployments(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(lwdemo.Run(&out, zap.NewNop()))
	for _, d := range []string{"kirishima", "papeles"} {
		is.Equal(strings.Count(out.String(), d+" "), 11) // one line for each step
	}
}
