package checker

import "zinniashore.example/decoder"

const (
	bytesPerMegabyte = 1_000_000

	// reservedDescriptors is the number of descriptors that a process needs for files.
	reservedDescriptors = 200

	// bodyCopies is how many times the body of a request is in memory: as received and as
	// decoded.
	bodyCopies = 2
)

// machine is the VM of a process.
type machine struct {
	// memory is in bytes, and descriptors is the number of file descriptors. Either is 0 if
	// the settings do not name it.
	memory, descriptors int64
	// root are the settings.
	root *decoder.Object
}

// connections returns how many connections a process can hold.
func (m machine) connections() int64 { return m.descriptors - reservedDescriptors }

// readMachine reads the size of the VM from the platform's settings. It ignores all other
// fields.
func readMachine(document Document) (machine, error) {
	root, err := decoder.Parse(document.Name, document.Content)
	if err != nil {
		return machine{}, &InputError{File: document.Name, Err: err}
	}
	m := machine{root: root}
	root.IgnoreAll()
	if o := root.Object("limits", false); o != nil {
		o.IgnoreAll()
		m.memory = int64(o.Number("memory-mb", decoder.Number{}) * bytesPerMegabyte)
		m.descriptors = int64(o.Number("max-fds", decoder.Number{}))
	}
	if err := root.Finish(); err != nil {
		return machine{}, &InputError{File: document.Name, Err: err}
	}
	return m, nil
}

// checkLimits checks the limits against each other and, if it is given, the VM.
func (c configuration) checkLimits(vm *machine) []Finding {
	o, l := c.limits.object, c.limits
	if o == nil {
		return []Finding{fieldFinding(c.root, "limits", SeverityWarning, KindLimits, "is missing: processes use their defaults")}
	}
	var findings []Finding
	for _, name := range []string{"max-header-bytes", "max-body-bytes", "header-timeout-ms", "idle-timeout-ms"} {
		if value, written := c.fields.Limits[name]; written && value == float64(0) {
			findings = append(findings, fieldFinding(o, name, SeverityWarning, KindLimits, "is 0, which means the default, not that there is no limit"))
		}
	}
	if l.idleTimeout > 0 && l.idleTimeout < l.headerTimeout {
		findings = append(findings, fieldFinding(o, "idle-timeout-ms", SeverityError, KindLimits,
			"contradicts header-timeout-ms: a connection is idle after %d ms, but a header may take %d ms", l.idleTimeout, l.headerTimeout))
	}
	if l.bodyBytes > 0 && l.headerBytes > l.bodyBytes {
		findings = append(findings, fieldFinding(o, "max-header-bytes", SeverityWarning, KindLimits,
			"lets a header of %d bytes be longer than a body, which is limited to %d bytes", l.headerBytes, l.bodyBytes))
	}
	if vm != nil {
		findings = append(findings, l.checkMachine(*vm)...)
	}
	return findings
}

// checkMachine checks the limits against the VM.
func (l limits) checkMachine(vm machine) []Finding {
	var findings []Finding
	if vm.memory == 0 {
		findings = append(findings, fieldFinding(vm.root, "limits", SeverityWarning, KindLimits, "names no memory-mb: the limits are not compared with the memory"))
	}
	if vm.descriptors == 0 {
		findings = append(findings, fieldFinding(vm.root, "limits", SeverityWarning, KindLimits, "names no max-fds: the limits are not compared with the connections"))
	}
	if vm.descriptors > 0 && vm.connections() <= 0 {
		findings = append(findings, fieldFinding(vm.root, "limits", SeverityError, KindLimits,
			"leaves no connections: of %d descriptors, %d are reserved for files", vm.descriptors, reservedDescriptors))
	}
	if vm.memory == 0 {
		return findings
	}
	if l.headerBytes > vm.memory || l.bodyBytes > (vm.memory-l.headerBytes)/bodyCopies {
		return append(findings, fieldFinding(l.object, "max-body-bytes", SeverityError, KindLimits,
			"contradicts the VM: one request takes up to %d bytes of header and %d times %d bytes of body, and the VM has %d bytes of memory",
			l.headerBytes, bodyCopies, l.bodyBytes, vm.memory))
	}
	if headers := vm.memory / max(l.headerBytes, 1); vm.connections() > headers {
		findings = append(findings, fieldFinding(l.object, "max-header-bytes", SeverityWarning, KindLimits,
			"contradicts the VM: its memory holds %d headers of %d bytes, and %d connections may each send one", headers, l.headerBytes, vm.connections()))
	}
	return findings
}
