package checker

import (
	"encoding/json"
	"errors"
	"math"
	"time"

	"zinniashore.example/decoder"
	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
)

// maxMilliseconds is the longest time that a process can represent.
const maxMilliseconds = math.MaxInt64 / int64(time.Millisecond)

// configuration is a configuration with the positions of its entries.
type configuration struct {
	// readable is true if a process can read the configuration.
	readable bool
	version  int64
	root     *decoder.Object
	routes   []route
	services []service
	limits   limits
	// fields are the entries as written.
	fields fieldsMessage
}

// route is a route as processes read it, and its position.
type route struct {
	dispatcher.Queue
	*decoder.Object
}

// service is a named service and its position.
type service struct {
	name string
	*decoder.Object
}

// limits are the limits of requests, in bytes and milliseconds; 0 if not set.
type limits struct {
	headerBytes, bodyBytes     int64
	headerTimeout, idleTimeout int64
	// object is nil if the configuration has no limits.
	object *decoder.Object
}

// fieldsMessage holds the fields of each entry as written.
type fieldsMessage struct {
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
}

// readConfiguration reads a configuration as a process does, and returns what is
// malformed or unknown. The configuration is not readable if a process cannot read it or
// an entry is not an object.
func readConfiguration(document Document) (configuration, []Finding) {
	decoded, err := platform.DecodeConfiguration(document.Content)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		// The offset is that of the byte after the faulty one.
		return configuration{}, []Finding{decodeFinding(document, int(syntax.Offset)-1, syntax)}
	}
	root, parseErr := decoder.Parse(document.Name, document.Content)
	if parseErr != nil {
		return configuration{}, faultFindings(parseErr)
	}
	c := configuration{root: root, version: decoded.Version}
	c.readFields(decoded.Queues)
	findings := faultFindings(root.Finish())
	if err == nil {
		err = c.matchFields(document.Content, len(decoded.Queues))
	}
	c.readable = err == nil
	if err != nil && Count(findings, SeverityError) == 0 {
		findings = append(findings, decodeFinding(document, errorOffset(err), err))
	}
	return c, findings
}

// errOtherEntries reports field names that differ from those of the format in case, which
// processes accept.
var errOtherEntries = errors.New("processes read other entries than this check: routes and services are to be written in lower case and as lists of objects")

// matchFields reads the entries as written. It returns an error if they are not those that
// were read with their positions, or not as many as the queues of processes.
func (c *configuration) matchFields(content []byte, queues int) error {
	if err := json.Unmarshal(content, &c.fields); err != nil {
		return err
	}
	if len(c.routes) != queues || len(c.routes) != len(c.fields.Routes) || len(c.services) != len(c.fields.Services) {
		return errOtherEntries
	}
	return nil
}

// readFields reads all fields with their positions.
func (c *configuration) readFields(queues []dispatcher.Queue) {
	c.root.Integer("version", decoder.Integer{Required: true, Min: math.MinInt64, Max: math.MaxInt64})
	for i, o := range c.root.Objects("routes") {
		readRoute(o)
		r := route{Object: o}
		if i < len(queues) {
			r.Queue = queues[i]
		}
		c.routes = append(c.routes, r)
	}
	for _, o := range c.root.Objects("services") {
		c.services = append(c.services, service{name: o.Text("name", notEmpty), Object: o})
		ignore(o, "health-path", "max-conns", "protocol", "tls", "admission-check", "standby")
	}
	c.limits.object = c.root.Object("limits", false)
	if o := c.limits.object; o != nil {
		c.limits.headerBytes = o.Integer("max-header-bytes", decoder.Integer{Max: math.MaxInt64})
		c.limits.bodyBytes = o.Integer("max-body-bytes", decoder.Integer{Max: math.MaxInt64})
		c.limits.headerTimeout = o.Integer("header-timeout-ms", decoder.Integer{Max: maxMilliseconds})
		c.limits.idleTimeout = o.Integer("idle-timeout-ms", decoder.Integer{Max: maxMilliseconds})
	}
}

// notEmpty are the rules for a name.
var notEmpty = decoder.Text{Required: true, Check: func(text string) bool { return text != "" }, Allowed: "a name"}

// readRoute reads the fields of a route and reports malformed ones to its object.
func readRoute(o *decoder.Object) {
	for _, name := range []string{"name", "host", "prefix", "service"} {
		o.Text(name, notEmpty)
	}
	o.Integer("timeout-ms", decoder.Integer{Max: maxMilliseconds})
	o.Number("target-duration-ms", decoder.Number{})
	o.Integer("priority", decoder.Integer{Max: math.MaxInt32})
	o.Integer("max-attempts", decoder.Integer{Min: 1, Max: math.MaxInt32})
	o.Number("stretch", decoder.Number{})
	ignore(o, "advice", "type")
}

// ignore marks fields of the platform's format that the check does not read.
func ignore(o *decoder.Object, names ...string) {
	for _, name := range names {
		o.Ignore(name)
	}
}

// faultFindings returns a finding for each fault of a *decoder.DocumentError. Processes
// ignore unknown fields, so that these are only warnings.
func faultFindings(err error) []Finding {
	var document *decoder.DocumentError
	if !errors.As(err, &document) {
		return nil
	}
	var findings []Finding
	for _, fault := range document.Faults {
		if fault.Unknown {
			findings = append(findings, finding(SeverityWarning, KindUnknown, fault))
			continue
		}
		findings = append(findings, finding(SeverityError, KindMalformed, fault))
	}
	return findings
}

// decodeFinding returns the finding for an error of decoding at an offset in bytes.
func decodeFinding(document Document, offset int, err error) Finding {
	line, column := decoder.Position(document.Content, max(offset, 0))
	place := Place{File: document.Name, Line: line, Column: column}
	return Finding{Severity: SeverityError, Kind: KindMalformed, Place: place, Message: err.Error()}
}

// errorOffset returns the offset of a value of the wrong type.
func errorOffset(err error) int {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return int(wrongType.Offset)
	}
	return 0
}
