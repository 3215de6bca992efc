package loader

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"zinniashore.example/decoder"
)

const (
	maxNameBytes        = 64
	maxDomains          = 64
	maxSeats            = 64
	maxQueue            = 100_000
	maxKeys             = 10_000_000
	maxBodyBytes        = 64 << 20
	minSecretBytes      = 16
	maxSecretBytes      = 256
	minDuration         = 10 * time.Millisecond
	maxDuration         = 24 * time.Hour
	minRenewalsPerLease = 2
	maxConnections      = 1_000_000
	maxHeaderLines      = 10_000
	maxRequestBytes     = 16 << 30
	bodiesPerBudget     = 4
)

// Load reads and checks a settings file. If the content is faulty, the error is a
// *decoder.DocumentError with every fault.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("reading the settings file: %w", err)
	}
	return Parse(path, content)
}

// Parse parses and checks the content of a settings file. The file name is used in
// the positions of faults. Its errors are *decoder.DocumentError.
func Parse(file string, content []byte) (Settings, error) {
	root, err := decoder.Parse(file, content)
	if err != nil {
		return Settings{}, err
	}
	settings := Settings{
		Process:        root.Text("process", nameLimits()),
		FailureDomain:  root.Text("failure_domain", nameLimits()),
		FailureDomains: root.Texts("failure_domains", nameLimits()),
		Addresses:      readAddresses(root.Object("addresses", true)),
		Store:          readStore(root.Object("store", true)),
		Platform:       readPlatform(root.Object("platform", true)),
		Seats:          readSeats(root.Object("seats", true)),
		Requests:       readRequests(section(root, "requests")),
		Tasks:          readTasks(section(root, "tasks")),
		Shutdown:       readShutdown(section(root, "shutdown")),
	}
	settings.Limits = readLimits(section(root, "limits"), settings.Requests)
	settings.Cells = readCells(root, settings)
	settings.Tokens = readTokens(root)
	checkDomains(root, settings)
	if err := root.Finish(); err != nil {
		return Settings{}, hideSecrets(err)
	}
	return settings, nil
}

// Default returns the values of the optional settings. Required settings are zero.
func Default() Settings {
	empty, err := decoder.Parse("default", []byte("{}"))
	if err != nil {
		return Settings{}
	}
	requests := readRequests(empty)
	return Settings{
		Store:    readStore(empty),
		Platform: readPlatform(empty),
		Seats:    readSeats(empty),
		Requests: requests,
		Tasks:    readTasks(empty),
		Shutdown: readShutdown(empty),
		Limits:   readLimits(empty, requests),
	}
}

// section returns an optional object of the root, or an empty object if it is
// missing.
func section(root *decoder.Object, name string) *decoder.Object {
	if object := root.Object(name, false); object != nil {
		return object
	}
	empty, err := decoder.Parse(name, []byte("{}"))
	if err != nil {
		return nil
	}
	return empty
}

func nameLimits() decoder.Text {
	limits := optionalNameLimits()
	limits.Required = true
	return limits
}

func optionalNameLimits() decoder.Text {
	return decoder.Text{
		Check:   func(value string) bool { return value != "" && len(value) <= maxNameBytes },
		Allowed: fmt.Sprintf("1 to %d bytes", maxNameBytes),
	}
}

func readAddresses(o *decoder.Object) Addresses {
	if o == nil {
		return Addresses{}
	}
	return Addresses{
		Callers:        readAddress(o, "callers"),
		Administration: readAddress(o, "administration"),
		Peers:          readAddress(o, "peers"),
	}
}

func readAddress(o *decoder.Object, field string) string {
	return o.Text(field, decoder.Text{
		Required: true,
		Check:    isAddress,
		Allowed:  `an IP address and a port such as "10.0.0.7:7000"`,
	})
}

func isAddress(value string) bool {
	host, port, err := net.SplitHostPort(value)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

func readStore(o *decoder.Object) Store {
	if o == nil {
		return Store{}
	}
	store := Store{
		Address:     readAddress(o, "address"),
		Lease:       o.Duration("lease", durationLimits(10*time.Second)),
		Renewal:     o.Duration("renewal", durationLimits(3*time.Second)),
		DriftMargin: o.Duration("drift_margin", durationLimits(500*time.Millisecond)),
	}
	if store.Renewal*minRenewalsPerLease+store.DriftMargin > store.Lease {
		o.Reject("lease", "is shorter than two renewals and the drift margin",
			fmt.Sprintf("at least %v", store.Renewal*minRenewalsPerLease+store.DriftMargin))
	}
	return store
}

func readPlatform(o *decoder.Object) Platform {
	if o == nil {
		return Platform{}
	}
	return Platform{
		Address: readAddress(o, "address"),
		Period:  o.Duration("period", durationLimits(time.Second)),
	}
}

func readSeats(o *decoder.Object) Seats {
	if o == nil {
		return Seats{}
	}
	seats := Seats{
		Count:     int(o.Integer("count", decoder.Integer{Required: true, Min: 1, Max: maxSeats})),
		Promise:   o.Duration("promise", durationLimits(5*time.Second)),
		Heartbeat: o.Duration("heartbeat", durationLimits(500*time.Millisecond)),
	}
	if seats.Heartbeat*minRenewalsPerLease > seats.Promise {
		o.Reject("promise", "is shorter than two heartbeats", fmt.Sprintf("at least %v", seats.Heartbeat*minRenewalsPerLease))
	}
	return seats
}

func readRequests(o *decoder.Object) Requests {
	return Requests{
		MaxDuration: o.Duration("longest", durationLimits(10*time.Second)),
		Queue:       int(o.Integer("queue", decoder.Integer{Default: 1024, Max: maxQueue})),
		BodyBytes:   o.Bytes("body", decoder.Bytes{Default: 1 << 20, Min: 1, Max: maxBodyBytes}),
		AnswerBytes: o.Bytes("answer", decoder.Bytes{Default: 4 << 20, Min: 1, Max: maxBodyBytes}),
		KeyWindow:   o.Duration("key_window", durationLimits(10*time.Minute)),
		Keys:        int(o.Integer("keys", decoder.Integer{Default: 50_000, Min: 1, Max: maxKeys})),
	}
}

func readTasks(o *decoder.Object) Tasks {
	tasks := Tasks{
		Lease:   o.Duration("lease", durationLimits(15*time.Second)),
		Renewal: o.Duration("renewal", durationLimits(2*time.Second)),
		Period:  o.Duration("period", durationLimits(500*time.Millisecond)),
		Drain:   o.Duration("drain", durationLimits(5*time.Second)),
	}
	if tasks.Renewal*minRenewalsPerLease > tasks.Lease {
		o.Reject("lease", "is shorter than two renewals", fmt.Sprintf("at least %v", tasks.Renewal*minRenewalsPerLease))
	}
	return tasks
}

func readShutdown(o *decoder.Object) Shutdown {
	return Shutdown{Limit: o.Duration("limit", durationLimits(30*time.Second))}
}

func readLimits(o *decoder.Object, requests Requests) Limits {
	// A large request uses at most half of the memory, and a body takes twice its length.
	minRequestBytes := bodiesPerBudget * requests.BodyBytes
	connections := func(field string, defaultValue int64) int {
		return int(o.Integer(field, decoder.Integer{Default: defaultValue, Min: 1, Max: maxConnections}))
	}
	limits := Limits{
		Connections:               connections("connections", 2048),
		AdministrationConnections: connections("administration_connections", 128),
		PeerConnections:           connections("peer_connections", 256),
		RequestBytes:              o.Bytes("requests", decoder.Bytes{Default: max(16<<20, minRequestBytes), Min: minRequestBytes, Max: maxRequestBytes}),
		HeaderBytes:               int(o.Bytes("header", decoder.Bytes{Default: 16 << 10, Min: 1 << 10, Max: 1 << 20})),
		HeaderLines:               int(o.Integer("header_lines", decoder.Integer{Default: 100, Min: 10, Max: maxHeaderLines})),
		HeaderTime:                o.Duration("header_time", durationLimits(5*time.Second)),
		RequestTime:               o.Duration("request_time", durationLimits(10*time.Second)),
		AnswerTime:                o.Duration("answer_time", durationLimits(10*time.Second)),
		IdleTime:                  o.Duration("idle_time", durationLimits(time.Minute)),
	}
	if limits.RequestTime < limits.HeaderTime {
		o.Reject("request_time", "is shorter than header_time", fmt.Sprintf("at least %v", limits.HeaderTime))
	}
	return limits
}

func durationLimits(defaultValue time.Duration) decoder.Duration {
	return decoder.Duration{Default: defaultValue, Min: minDuration, Max: maxDuration}
}

func readCells(root *decoder.Object, settings Settings) []Cell {
	var cells []Cell
	for _, o := range root.Objects("cells") {
		cell := Cell{
			ID:            o.Text("id", nameLimits()),
			FailureDomain: o.Text("failure_domain", nameLimits()),
			Racks:         o.Texts("racks", optionalNameLimits()),
		}
		if slices.ContainsFunc(cells, func(other Cell) bool { return other.ID == cell.ID }) {
			o.Reject("id", "is already used by another cell", "an id that no other cell has")
		}
		if !slices.Contains(settings.FailureDomains, cell.FailureDomain) {
			o.Reject("failure_domain", "is not a failure domain", fmt.Sprintf("one of %q", settings.FailureDomains))
		}
		cells = append(cells, cell)
	}
	if len(cells) == 0 {
		return DefaultCells(settings.FailureDomains)
	}
	return cells
}

// DefaultCells returns one cell for each failure domain.
func DefaultCells(failureDomains []string) []Cell {
	var cells []Cell
	for _, failureDomain := range failureDomains {
		cells = append(cells, Cell{ID: failureDomain, FailureDomain: failureDomain})
	}
	return cells
}

func readTokens(root *decoder.Object) []Token {
	var tokens []Token
	for _, o := range root.Objects("tokens") {
		token := Token{
			Role:         TokenRole(o.Text("role", tokenRoleLimits())),
			Organisation: o.Text("organisation", optionalNameLimits()),
			Secret:       o.Text("secret", secretLimits()),
		}
		if token.Role == TokenOrganisation && token.Organisation == "" {
			o.Reject("organisation", "is missing", "the organisation that the token acts for")
		}
		tokens = append(tokens, token)
	}
	return tokens
}

func tokenRoleLimits() decoder.Text {
	return decoder.Text{Required: true, Choices: []string{string(TokenOperator), string(TokenOrganisation)}}
}

func secretLimits() decoder.Text {
	return decoder.Text{
		Required: true,
		Check:    func(value string) bool { return len(value) >= minSecretBytes && len(value) <= maxSecretBytes },
		Allowed:  fmt.Sprintf("%d to %d bytes", minSecretBytes, maxSecretBytes),
	}
}

// hideSecrets removes the values of secrets from the faults, so that they are not
// printed or logged.
func hideSecrets(err error) error {
	var faults *decoder.DocumentError
	if !errors.As(err, &faults) {
		return err
	}
	for _, fault := range faults.Faults {
		if strings.HasSuffix(fault.Field, ".secret") {
			fault.Value = ""
		}
	}
	return err
}

func checkDomains(root *decoder.Object, settings Settings) {
	if len(settings.FailureDomains) == 0 || len(settings.FailureDomains) > maxDomains {
		root.Reject("failure_domains", "has the wrong number of entries", fmt.Sprintf("1 to %d failure domains", maxDomains))
	}
	seen := map[string]bool{}
	for _, failureDomain := range settings.FailureDomains {
		if seen[failureDomain] {
			root.Reject("failure_domains", fmt.Sprintf("names %q twice", failureDomain), "each failure domain once")
		}
		seen[failureDomain] = true
	}
	if settings.FailureDomain != "" && !seen[settings.FailureDomain] {
		root.Reject("failure_domain", "is not one of failure_domains", fmt.Sprintf("one of %q", settings.FailureDomains))
	}
}
