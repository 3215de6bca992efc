package zinniashore

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"

	"k8s.io/klog/v2"

	"zinniashore.example/configurer"
	"zinniashore.example/deduper"
	"zinniashore.example/keeper"
	"zinniashore.example/lister"
	"zinniashore.example/loader"
	"zinniashore.example/publisher"
	"zinniashore.example/router"
	"zinniashore.example/seater"
)

// readyShares provides the shares of the seats, which are zero until a configuration is
// ready.
type readyShares struct {
	seater     *seater.Seater
	configurer *configurer.Configurer
}

// Share implements router.Shares.
func (r readyShares) Share(slots int) int {
	if !r.configurer.Ready() {
		return 0
	}
	return r.seater.Share(slots)
}

// Connections implements router.Shares.
func (r readyShares) Connections(limit int) int { return r.seater.Connections(limit) }

// Held implements router.Shares.
func (r readyShares) Held() bool { return r.configurer.Ready() && r.seater.Held() }

// requestKeys looks up the home seats of idempotency keys and checks the keys there.
type requestKeys struct {
	seater  *seater.Seater
	deduper *deduper.Deduper
}

// Home implements router.Keys.
func (r requestKeys) Home(key string) router.KeyHome {
	home := r.seater.Home(key)
	return router.KeyHome{VM: home.VM, Local: home.Local, Known: home.Known}
}

// Begin implements router.Keys.
func (r requestKeys) Begin(ctx context.Context, key string, attempt int) (router.KeyVerdict, error) {
	verdict, err := r.deduper.Begin(ctx, key, attempt)
	var malformed *deduper.KeyError
	if errors.As(err, &malformed) {
		return router.KeyVerdict{Verdict: router.VerdictInvalid}, nil
	}
	if err != nil {
		return router.KeyVerdict{}, err
	}
	return router.KeyVerdict{
		Verdict: router.Verdict(verdict.Decision),
		Answer:  verdict.Answer,
		Confirm: func() bool { return r.deduper.Confirm(key, verdict.Epoch) },
	}, nil
}

// Finish implements router.Keys.
func (r requestKeys) Finish(key, outcome string, answer []byte) {
	r.deduper.Finish(key, outcome, answer)
}

// routerPeers lists the members that the seater knows as peers of the router.
type routerPeers struct{ seater *seater.Seater }

// Peers implements router.Peers.
func (r routerPeers) Peers() []router.Peer {
	var peers []router.Peer
	for _, m := range r.seater.Members() {
		peers = append(peers, router.Peer{
			VM:            m.VM,
			FailureDomain: m.FailureDomain,
			Address:       m.Address,
			Alive:         m.Alive,
			Draining:      m.Draining,
			Connection:    m.Connection,
		})
	}
	return peers
}

// configurerPeers lists the members that the seater knows as peers of the configurer.
type configurerPeers struct{ seater *seater.Seater }

// Peers implements configurer.Peers.
func (c configurerPeers) Peers() []configurer.Peer {
	var peers []configurer.Peer
	for _, m := range c.seater.Members() {
		peers = append(peers, configurer.Peer{
			VM:            m.VM,
			FailureDomain: m.FailureDomain,
			Alive:         m.Alive,
			Connection:    m.Connection,
		})
	}
	return peers
}

// callerTokens authorizes callers by the tokens in the settings.
type callerTokens []loader.Token

// authorizer returns the authorizer of callers, or nil, which admits every caller, if no
// token is set.
func authorizer(tokens []loader.Token) router.Authorizer {
	if len(tokens) == 0 {
		return nil
	}
	return callerTokens(tokens)
}

// Authorize implements router.Authorizer. Its run time doesn't depend on where the
// tokens differ, so that timing discloses nothing about a token.
func (c callerTokens) Authorize(organisation, token string) bool {
	given := sha256.Sum256([]byte(token))
	authorized := 0
	for _, known := range c {
		stored := sha256.Sum256([]byte(known.Secret))
		equal := subtle.ConstantTimeCompare(given[:], stored[:])
		if known.Role == loader.TokenOperator || known.Organisation == organisation {
			authorized |= equal
		}
	}
	return authorized == 1
}

func leavingVMs(vms []lister.VM) []string {
	var leaving []string
	for _, vm := range vms {
		if vm.State == lister.StateLeaving {
			leaving = append(leaving, vm.ID)
		}
	}
	return leaving
}

func decodeEndpoints(entries []keeper.Entry) []publisher.Endpoint {
	var endpoints []publisher.Endpoint
	for _, entry := range entries {
		listed, err := publisher.DecodeEntry(entry)
		if err != nil {
			klog.ErrorS(err, "Decoding a list of endpoints failed", "key", entry.Key)
			continue
		}
		endpoints = append(endpoints, listed...)
	}
	return endpoints
}
