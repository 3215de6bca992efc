package throttler

import "testing"

// TestVMLimits guards against listeners that together exceed the descriptors or the memory of a
// VM, and against a limit that ordinary clients reach or the entry VMs of a large deployment.
func TestVMLimits(t *testing.T) {
	tests := map[string]struct {
		memoryMB, descriptors int64
		minClients, minPeers  int
	}{
		"smallest VM of the platform": {memoryMB: 184, descriptors: 4100, minClients: 2500, minPeers: 300},
		"largest VM of the platform":  {memoryMB: 536, descriptors: 8192, minClients: 5000, minPeers: 300},
		"unknown":                     {minClients: 2500, minPeers: 300},
		"least settings":              {memoryMB: 64, descriptors: 300, minClients: 50},
		"much memory":                 {memoryMB: 1 << 16, descriptors: 4100, minClients: 2500, minPeers: 300},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limits := DivideVM(test.memoryMB<<20, test.descriptors)
			if limits.Clients < test.minClients {
				t.Errorf("%d clients, want at least %d", limits.Clients, test.minClients)
			}
			if limits.Peers < test.minPeers {
				t.Errorf("%d peers, want at least %d", limits.Peers, test.minPeers)
			}
			total := int64(limits.Clients + limits.Readiness + limits.Metrics + limits.Peers)
			if test.descriptors > 0 && total+fileDescriptors >= test.descriptors {
				t.Errorf("%d connections and %d files of %d descriptors", total, fileDescriptors, test.descriptors)
			}
			if memory := int64(limits.Clients)*connectionBytes + limits.RequestBytes; test.memoryMB > 0 && memory > test.memoryMB<<20/2 {
				t.Errorf("%d bytes for clients, want at most half of %d MB", memory, test.memoryMB)
			}
		})
	}
}
