package administrator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"sync"

	"golang.org/x/time/rate"
)

const (
	authorizationHeader = "Authorization"
	bearerScheme        = "Bearer "

	operatorRate      = 20 // calls a second
	operatorBurst     = 60
	organisationRate  = 5 // calls a second
	organisationBurst = 20
	strangerRate      = 10 // calls a second of all unknown tokens together
	strangerBurst     = 20
)

// Secret is a token. It never shows in logs.
type Secret string

// String hides the secret.
func (s Secret) String() string { return "hidden" }

// GoString hides the secret.
func (s Secret) GoString() string { return "hidden" }

// Token allows its holder the calls of an operator or of an organisation.
type Token struct {
	// Name names the operator or the organisation.
	Name string
	// Secret is what the holder sends.
	Secret Secret
}

// Tokens are who may call the administration API.
type Tokens struct {
	// Operators may do everything.
	Operators []Token
	// Organisations may see and change what is their own.
	Organisations []Token
}

// principal is who makes a call.
type principal struct {
	// operator names the operator, or is empty.
	operator string
	// organisation names the organisation, or is empty.
	organisation string
}

func (p principal) isOperator() bool { return p.operator != "" }

// name names the principal for events.
func (p principal) name() string {
	if p.isOperator() {
		return p.operator
	}
	return p.organisation
}

// may reports whether the principal may see and change an organisation.
func (p principal) may(organisation string) bool {
	return p.isOperator() || p.organisation == organisation
}

// authenticator finds the principal of a call and bounds the calls of each.
type authenticator struct {
	tokens Tokens

	mu       sync.Mutex
	limiters map[principal]*rate.Limiter
}

// authenticate compares with every token in constant time.
func (a *authenticator) authenticate(r *http.Request) (principal, bool) {
	given, found := strings.CutPrefix(r.Header.Get(authorizationHeader), bearerScheme)
	digest := sha256.Sum256([]byte(given))
	var p principal
	for _, token := range a.tokens.Operators {
		if matches(digest, token.Secret) {
			p = principal{operator: token.Name}
		}
	}
	for _, token := range a.tokens.Organisations {
		if matches(digest, token.Secret) && !p.isOperator() {
			p = principal{organisation: token.Name}
		}
	}
	return p, found && given != "" && p != principal{}
}

func matches(digest [sha256.Size]byte, secret Secret) bool {
	expected := sha256.Sum256([]byte(secret))
	return subtle.ConstantTimeCompare(digest[:], expected[:]) == 1
}

// allow reports whether the principal stays within its rate.
func (a *authenticator) allow(p principal) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limiters == nil {
		a.limiters = map[principal]*rate.Limiter{}
	}
	limiter, found := a.limiters[p]
	if !found {
		limiter = newLimiter(p)
		a.limiters[p] = limiter
	}
	return limiter.Allow()
}

func newLimiter(p principal) *rate.Limiter {
	switch {
	case p.isOperator():
		return rate.NewLimiter(operatorRate, operatorBurst)
	case p.organisation != "":
		return rate.NewLimiter(organisationRate, organisationBurst)
	}
	return rate.NewLimiter(strangerRate, strangerBurst)
}
