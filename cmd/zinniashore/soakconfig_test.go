package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// soakApply is the time after the acknowledgement of a version from which no process that
	// nothing hinders acts on an older one.
	soakApply = 2 * time.Second
	// soakRegress is the time after a process has shown that it has a version from which it
	// acts on no older one, until it is restarted.
	soakRegress = 250 * time.Millisecond
	// soakRouteVersions is how many versions have a route that one of them has added.
	soakRouteVersions = 3
	// firstSoakVersion is the first version, soakVersionStep the difference between two.
	firstSoakVersion, soakVersionStep = 3, 2
	// soakNewVersions is how many of the newest versions' routes are asked for.
	soakNewVersions = 6
	soakProbers     = 3
	soakProbeEvery  = 60 * time.Millisecond
)

// soakVersions are the versions of the configuration. Each adds a route and drops one.
type soakVersions struct {
	mu sync.Mutex
	// acknowledged is when each version was acknowledged, from firstSoakVersion on.
	acknowledged []time.Time
	// shown is the newest version that each incarnation of a process has shown to have, and
	// when.
	shown map[string][]soakShown
	// checked counts the answers that were checked against a version that had to be in force.
	checked int
}

type soakShown struct {
	at      time.Time
	version int
}

// newest returns the newest version; the caller holds the mutex.
func (v *soakVersions) newest() int {
	return firstSoakVersion + soakVersionStep*(len(v.acknowledged)-1)
}

// before returns the newest version that was acknowledged before a time; the caller holds the
// mutex.
func (v *soakVersions) before(t time.Time) int {
	version := firstSoakVersion - soakVersionStep
	for _, at := range v.acknowledged {
		if at.Before(t) {
			version += soakVersionStep
		}
	}
	return version
}

// hasRoute reports whether a version has the route that another one has added.
func hasRoute(version, added int) bool {
	return added >= firstSoakVersion && added <= version && version < added+soakVersionStep*soakRouteVersions
}

func soakRoutePrefix(added int) string { return fmt.Sprintf("/added-%d/", added) }

// soakConfiguration returns a version of the configuration.
func soakConfiguration(version int, target uint64) ([]byte, error) {
	var message map[string]any
	if err := json.Unmarshal([]byte(platformConfiguration), &message); err != nil {
		return nil, err
	}
	message["version"] = version
	routes := message["routes"].([]any)
	orders := routes[0].(map[string]any)
	orders["target-duration-ms"] = target
	for added := firstSoakVersion; added <= version; added += soakVersionStep {
		if !hasRoute(version, added) {
			continue
		}
		route := map[string]any{}
		for name, value := range orders {
			route[name] = value
		}
		route["name"], route["prefix"] = fmt.Sprint("added-", added), soakRoutePrefix(added)
		routes = append(routes, route)
	}
	message["routes"] = routes
	return json.Marshal(message)
}

// configure writes a new version of the configuration.
func (s *soak) configure(number uint64) {
	s.versions.mu.Lock()
	defer s.versions.mu.Unlock()
	s.versions.acknowledged = append(s.versions.acknowledged, time.Time{})
	content, err := soakConfiguration(s.versions.newest(), 300+number%1000)
	if err != nil {
		s.t.Error(err)
		return
	}
	s.store.Put("op/config", content)
	s.versions.acknowledged[len(s.versions.acknowledged)-1] = time.Now()
}

// soakConfigurationFaults are the kinds of faults that excuse a process from having a new
// version, and whether they excuse all processes.
var soakConfigurationFaults = map[string]bool{
	"kill a process": false, "kill a holder": false, "freeze a process": false, "freeze a holder": false,
	"store refuses a process": false, "link to the store": false,
	"store unavailable": true, "store loses answers": true, "store silent": true, "store away": true, "store's connections silent": true, "kill all processes": true,
}

// informed reports whether nothing has kept a process from having the configuration: no such
// fault from soakContact before the span until its end.
func (s *soak) informed(process string, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.faults {
		all, excuses := soakConfigurationFaults[f.kind]
		if excuses && (all || f.process == process) && f.from.Before(to) && (f.to.IsZero() || f.to.Add(soakContact).After(from)) {
			return false
		}
	}
	return true
}

// probeRoutes asks processes for routes that were added or dropped, or never existed, until
// stop is closed.
func (c *soakClient) probeRoutes(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(soakProbeEvery/2 + rand.N(soakProbeEvery)):
		}
		c.s.versions.mu.Lock()
		added := c.s.versions.newest() - soakVersionStep*c.rng.IntN(soakNewVersions)
		c.s.versions.mu.Unlock()
		c.probeRoute(c.s.processes[c.rng.IntN(len(c.s.processes))], added)
	}
}

// life names a process and its incarnation.
func (p *soakProcess) life() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%s/%d", p.name, p.incarnation)
}

// probeRoute asks a process for the route that a version has added, and checks that a version
// which the process may have answers so.
func (c *soakClient) probeRoute(p *soakProcess, added int) {
	life, sent := p.life(), time.Now()
	status, _ := c.request(p, http.MethodGet, soakRoutePrefix(added), "")
	if status != http.StatusOK && status != http.StatusNotFound {
		return
	}
	answered := time.Now()
	s, v := c.s, &c.s.versions
	informed, slack := s.informed(p.name, sent, answered), s.pause()
	v.mu.Lock()
	defer v.mu.Unlock()
	oldest := v.oldest(life, sent.Add(-slack), informed)
	if !v.anyAnswers(oldest, added, status) {
		s.report(fmt.Sprintf("CONFIG: %s answered %d for the route of version %d, sent %s, answered %s; versions %d to %d say otherwise (informed %t)",
			life, status, added, s.since(sent), s.since(answered), oldest, v.newest(), informed))
		return
	}
	if status == http.StatusOK && life == p.life() {
		v.shown[life] = append(v.shown[life], soakShown{at: answered, version: added})
	}
}

// oldest returns the oldest version by which a process may answer a request that was sent at
// a time; the caller holds the mutex.
func (v *soakVersions) oldest(life string, sent time.Time, informed bool) int {
	oldest := firstSoakVersion - soakVersionStep
	if informed {
		oldest = v.before(sent.Add(-soakApply))
		v.checked++
	}
	for _, shown := range v.shown[life] {
		if shown.at.Add(soakRegress).Before(sent) {
			oldest = max(oldest, shown.version)
		}
	}
	return oldest
}

// anyAnswers reports whether a version from the oldest to the newest one answers a request for
// a route with a status; the caller holds the mutex.
func (v *soakVersions) anyAnswers(oldest, added, status int) bool {
	for version := oldest; version <= v.newest(); version += soakVersionStep {
		if hasRoute(version, added) == (status == http.StatusOK) {
			return true
		}
	}
	return false
}

// pause returns the longest time for which the machine held up the stand-ins so far.
func (s *soak) pause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.longestPause
}
