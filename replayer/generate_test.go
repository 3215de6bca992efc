package replayer_test

import (
	"flag"
	"os"
	"testing"

	"zinniashore.example/replayer"
)

// traceSeed is the seed of the committed traces.
const traceSeed = 20261204

var writeTraces = flag.Bool("write_traces", false, "overwrite the committed traces with generated ones")

func TestTracesComeFromTheirSeed(t *testing.T) {
	for _, name := range replayer.TraceNames() {
		trace, err := replayer.Generate(name, traceSeed)
		if err != nil {
			t.Fatal(err)
		}
		content, err := replayer.Encode(trace)
		if err != nil {
			t.Fatal(err)
		}
		path := "traces/" + string(name) + ".json"
		if *writeTraces {
			if err := os.WriteFile(path, content, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		committed, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if string(committed) != string(content) {
			t.Errorf("%s differs from what seed %d generates", path, traceSeed)
		}
	}
}
