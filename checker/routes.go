package checker

import (
	"net"
	"strings"
)

// jobIDLength is the number of hexadecimal digits of the id of a job, which follows the
// prefix of a route in a path.
const jobIDLength = 16

// target is the host and prefix of a route. Hosts are compared without regard to case.
type target struct{ host, prefix string }

// target returns the host, in a form for comparisons, and the prefix.
func (r route) target() target {
	return target{host: strings.ToLower(strings.ToUpper(r.Host)), prefix: r.Prefix}
}

// checkRoutes checks the routes by themselves and against each other.
func (c configuration) checkRoutes() []Finding {
	var findings []Finding
	names := map[string]bool{}
	targets := map[target]route{}
	for _, r := range c.routes {
		findings = append(findings, r.check()...)
		if names[r.Name] && r.Name != "" {
			findings = append(findings, fieldFinding(r.Object, "name", SeverityError, KindDuplicate, "%q is the name of an earlier route too", r.Name))
		}
		names[r.Name] = true
		if earlier, found := targets[r.target()]; found && r.Prefix != "" {
			findings = append(findings, fieldFinding(r.Object, "prefix", SeverityError, KindUnreachable,
				"can never match: route %q takes all requests of this host and prefix", earlier.Name))
			continue
		}
		targets[r.target()] = r
	}
	for _, r := range targets {
		findings = append(findings, r.checkIDs(targets)...)
	}
	if len(c.routes) == 0 {
		findings = append(findings, fieldFinding(c.root, "routes", SeverityWarning, KindUnreachable, "no route is given, so that no job is accepted"))
	}
	return findings
}

// check returns the findings about a route that don't depend on other routes.
func (r route) check() []Finding {
	var findings []Finding
	if _, port, err := net.SplitHostPort(r.Host); err == nil {
		findings = append(findings, fieldFinding(r.Object, "host", SeverityError, KindUnreachable,
			"can never match: hosts are compared without a port, and this one has port %q", port))
	}
	switch {
	case r.Prefix == "":
		// A missing or empty prefix is malformed.
	case !strings.HasPrefix(r.Prefix, "/"):
		findings = append(findings, fieldFinding(r.Object, "prefix", SeverityError, KindUnreachable, "can never match: a path begins with /"))
	case !strings.HasSuffix(r.Prefix, "/"):
		findings = append(findings, fieldFinding(r.Object, "prefix", SeverityWarning, KindUnreachable,
			"does not end with /: the id of a job follows it at once, as in %s0123456789abcdef", r.Prefix))
	}
	if r.Stretch == 0 && r.Target == 0 {
		findings = append(findings, fieldFinding(r.Object, "", SeverityWarning, KindObjective,
			"has neither stretch nor target-duration-ms: each job is late as soon as it is accepted"))
	}
	return findings
}

// checkIDs checks whether the prefix of a route consists of the shorter prefix of another
// route of the same host and the beginning of a job id. Such a route takes requests for
// jobs of the other one, as the route with the longest prefix takes a request.
func (r route) checkIDs(targets map[target]route) []Finding {
	var findings []Finding
	t := r.target()
	for digits := 1; digits <= min(jobIDLength, len(r.Prefix)-1); digits++ {
		cut := len(r.Prefix) - digits
		if !strings.Contains("0123456789abcdefABCDEF", r.Prefix[cut:cut+1]) {
			break
		}
		if other, found := targets[target{host: t.host, prefix: r.Prefix[:cut]}]; found {
			findings = append(findings, fieldFinding(r.Object, "prefix", SeverityWarning, KindUnreachable, "takes requests for jobs of route %q", other.Name))
		}
	}
	return findings
}

// checkServices checks that services and routes name each other.
func (c configuration) checkServices() []Finding {
	var findings []Finding
	named := map[string]bool{}
	for _, s := range c.services {
		if named[s.name] && s.name != "" {
			findings = append(findings, fieldFinding(s.Object, "name", SeverityError, KindDuplicate, "%q is the name of an earlier service too", s.name))
		}
		named[s.name] = true
	}
	used := map[string]bool{}
	for _, r := range c.routes {
		used[r.Service] = true
		if !named[r.Service] && r.Service != "" {
			findings = append(findings, fieldFinding(r.Object, "service", SeverityError, KindService, "%q is not one of the services", r.Service))
		}
	}
	for _, s := range c.services {
		if !used[s.name] && s.name != "" {
			findings = append(findings, fieldFinding(s.Object, "name", SeverityWarning, KindService, "no route leads to service %q", s.name))
		}
	}
	return findings
}
