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
	unknownTokenRate  = 10 // calls a second, shared by all unknown tokens
	unknownTokenBurst = 20
)

// Secret is the secret value of a token. Its formatting methods hide it, so that it is
// not logged.
type Secret string

// String returns a placeholder for the secret.
func (s Secret) String() string { return "hidden" }

// GoString returns a placeholder for the secret.
func (s Secret) GoString() string { return "hidden" }

// Token authenticates an operator or an organisation.
type Token struct {
	// Name is the name of the operator or the organisation.
	Name string
	// Secret is the bearer token that the caller sends.
	Secret Secret
}

// Tokens are the tokens that the administration API accepts.
type Tokens struct {
	// Operators are the tokens of operators, who may make all calls.
	Operators []Token
	// Organisations are the tokens of organisations, which may see and change only
	// what belongs to them.
	Organisations []Token
}

// principal identifies the caller of a request. It is zero for an unknown token.
type principal struct {
	// operator is the name of the operator, or empty.
	operator string
	// organisation is the name of the organisation, or empty.
	organisation string
}

func (p principal) isOperator() bool { return p.operator != "" }

// name returns the name under which events record the principal.
func (p principal) name() string {
	if p.isOperator() {
		return p.operator
	}
	return p.organisation
}

// mayAccess reports whether the principal may see and change what belongs to an
// organisation.
func (p principal) mayAccess(organisation string) bool {
	return p.isOperator() || p.organisation == organisation
}

// authenticator finds the principal of a request and limits the request rate of each
// principal.
type authenticator struct {
	tokens Tokens

	mu       sync.Mutex
	limiters map[principal]*rate.Limiter
}

// authenticate returns the principal of a request, and whether its token is known. It
// compares the token with every known one in constant time, so that the response time
// does not reveal a secret.
func (a *authenticator) authenticate(r *http.Request) (principal, bool) {
	bearer, found := strings.CutPrefix(r.Header.Get(authorizationHeader), bearerScheme)
	digest := sha256.Sum256([]byte(bearer))
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
	return p, found && bearer != "" && p != principal{}
}

func matches(digest [sha256.Size]byte, secret Secret) bool {
	expected := sha256.Sum256([]byte(secret))
	return subtle.ConstantTimeCompare(digest[:], expected[:]) == 1
}

// allow reports whether the rate limit of the principal allows another request.
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
	return rate.NewLimiter(unknownTokenRate, unknownTokenBurst)
}
