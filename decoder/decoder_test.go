package decoder_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"zinniashore.example/decoder"
)

func ExampleParse() {
	object, err := decoder.Parse("settings.json", []byte(`{
	// The address of the store.
	"store": "10.0.0.1:2379",
	"timeout": "3 sec",
	"colour": "red",
}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(object.Text("store", decoder.Text{Required: true}))
	fmt.Println(object.Duration("timeout", decoder.Duration{Default: time.Second, Max: time.Minute}))
	fmt.Println(object.Finish())
	// Output:
	// 10.0.0.1:2379
	// 1s
	// settings.json:4:13: timeout: is not a duration with a unit; allowed: a string from "0s" to "1m0s"
	// settings.json:5:2: colour: is unknown; allowed: store, timeout
}

// read parses content and reads a field of every type.
func read(content []byte) error {
	o, err := decoder.Parse("f", content)
	if err != nil {
		return err
	}
	o.Text("text", decoder.Text{Choices: []string{"a", "b"}})
	o.Texts("texts", decoder.Text{Check: func(s string) bool { return s != "" }, Allowed: "not empty"})
	o.Bool("bool", true)
	o.Integer("integer", decoder.Integer{Min: 1, Max: 9})
	o.Duration("duration", decoder.Duration{Min: time.Second, Max: time.Hour})
	o.Bytes("bytes", decoder.Bytes{Max: 1 << 30})
	o.Thousandths("thousandths", decoder.Thousandths{Max: 64000})
	o.Number("number", decoder.Number{Min: 0.5})
	if child := o.Object("object", false); child != nil {
		child.Integer("n", decoder.Integer{Required: true, Max: 9})
	}
	for _, child := range o.Objects("objects") {
		child.Integer("n", decoder.Integer{Required: true, Max: 9})
	}
	return o.Finish()
}

func TestFaults(t *testing.T) {
	cases := map[string]struct {
		content string
		want    string
	}{
		"all good":            {content: `{"text": "a", "texts": ["x"], "bool": true, "integer": 3, "duration": "2s", "bytes": "1GiB", "thousandths": 2.5, "number": 1.33333, "object": {"n": 1}, "objects": [{"n": 2}]}`},
		"nothing given":       {content: "{ // nothing\n}"},
		"syntax":              {content: "{\n\"a\" 1}", want: "f:2:5"},
		"not an object":       {content: `[]`, want: "f:1:1: is not an object; allowed: an object in JSON with comments"},
		"duplicate":           {content: `{"bool": true, "bool": false}`, want: "f:1:16: bool: is given twice; allowed: once"},
		"unknown in child":    {content: `{"object": {"n": 1, "m": 2}}`, want: "f:1:21: object.m: is unknown; allowed: n"},
		"missing in list":     {content: `{"objects": [{"n": 1}, {}]}`, want: "f:1:24: objects[1].n: is missing"},
		"null":                {content: `{"text": null}`, want: "f:1:10: text: is not a string; allowed: a string"},
		"choice":              {content: `{"text": "c"}`, want: "f:1:10: text: is not one of the choices; allowed: a, b"},
		"check":               {content: `{"texts": ["x", ""]}`, want: "f:1:17: texts[1]: is malformed; allowed: not empty"},
		"list expected":       {content: `{"texts": "x"}`, want: "f:1:11: texts: is not a list; allowed: a list"},
		"bool":                {content: `{"bool": 1}`, want: "f:1:10: bool: is not true or false; allowed: true, false"},
		"fraction":            {content: `{"integer": 1.5}`, want: "f:1:13: integer: is not a whole number; allowed: a whole number from 1 to 9"},
		"number as string":    {content: `{"integer": "5"}`, want: "f:1:13: integer: is not a whole number; allowed: a whole number from 1 to 9"},
		"integer range":       {content: `{"integer": 10}`, want: "f:1:13: integer: is out of range; allowed: a whole number from 1 to 9"},
		"duration unit":       {content: `{"duration": "5"}`, want: `f:1:14: duration: is not a duration with a unit; allowed: a string from "1s" to "1h0m0s"`},
		"duration as number":  {content: `{"duration": 5}`, want: "f:1:14: duration: is not a string; allowed: a string"},
		"duration range":      {content: `{"duration": "2h"}`, want: `f:1:14: duration: is out of range; allowed: a string from "1s" to "1h0m0s"`},
		"bytes unit":          {content: `{"bytes": "1G"}`, want: `f:1:11: bytes: is not a whole amount with a unit of bytes; allowed: a string from "0B" to "1GiB"`},
		"bytes overflow":      {content: `{"bytes": "99999999999TB"}`, want: `f:1:11: bytes: is not a whole amount with a unit of bytes; allowed: a string from "0B" to "1GiB"`},
		"thousandths":         {content: `{"thousandths": 1.2345}`, want: "f:1:17: thousandths: is not a number with up to three decimals; allowed: a number from 0 to 64"},
		"number":              {content: `{"number": "1"}`, want: "f:1:12: number: is not a number; allowed: a number from 0.5"},
		"number range":        {content: `{"number": 0.4}`, want: "f:1:12: number: is out of range; allowed: a number from 0.5"},
		"nested too deep":     {content: strings.Repeat("[", decoder.MaxDocumentBytes), want: "f:1:33: is nested too deep; allowed: at most 32 levels"},
		"brackets in text":    {content: `{"text": "a", /* ` + strings.Repeat("[", 40) + ` */ "texts": ["` + strings.Repeat("{", 40) + `\""]}`},
		"several by position": {content: "{\n\"integer\": 0,\n\"bool\": 0}", want: "f:2:12: integer: is out of range; allowed: a whole number from 1 to 9\nf:3:9: bool: is not true or false; allowed: true, false"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := read([]byte(c.content))
			if c.want == "" {
				if err != nil {
					t.Fatalf("read: %v, want no error", err)
				}
				return
			}
			var fault *decoder.FieldError
			if !errors.As(err, &fault) {
				t.Fatalf("read: %v, want a *FieldError", err)
			}
			if got := err.Error(); got != c.want && (name != "syntax" || got[:len(c.want)] != c.want) {
				t.Errorf("read: %s\nwant: %s", got, c.want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"text": "a", "objects": [{"n": 2}], "bytes": "1GiB", "thousandths": -2.5}`))
	f.Add([]byte("{/* x */ \"object\": {\"n\": 1, \"n\": 2},}"))
	f.Fuzz(func(t *testing.T, content []byte) {
		err := read(content)
		var document *decoder.DocumentError
		if err != nil && (!errors.As(err, &document) || document.Faults[0].Line < 1) {
			t.Fatalf("read: %v, want a *DocumentError with positions", err)
		}
	})
}
