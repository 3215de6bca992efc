package keeper

// KeyMessage names a key or a prefix.
type KeyMessage struct {
	Key string `json:"key"`
}

// EntryMessage is the wire form of an Entry.
type EntryMessage struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
	Lease   int64  `json:"lease"`
}

func (m EntryMessage) entry() Entry {
	return Entry{Key: m.Key, Value: m.Value, Version: m.Version, Lease: LeaseID(m.Lease)}
}

// ListingMessage is the wire form of a Listing.
type ListingMessage struct {
	Entries  []EntryMessage `json:"entries"`
	Revision int64          `json:"revision"`
}

// SwapMessage requests a compare-and-swap.
type SwapMessage struct {
	Key      string `json:"key"`
	Expected int64  `json:"expected"`
	Value    []byte `json:"value"`
	Lease    int64  `json:"lease"`
	Delete   bool   `json:"delete"`
}

// SwapAnswer answers a SwapMessage.
type SwapAnswer struct {
	Version  int64         `json:"version"`
	Conflict *EntryMessage `json:"conflict,omitempty"`
	Expired  bool          `json:"lapsed,omitempty"`
}

// GrantMessage requests a lease.
type GrantMessage struct {
	Milliseconds int64 `json:"milliseconds"`
}

// LeaseMessage names a lease, or reports that it has ended.
type LeaseMessage struct {
	Lease   int64 `json:"lease"`
	Expired bool  `json:"lapsed,omitempty"`
}

// WatchMessage requests the changes under a prefix.
type WatchMessage struct {
	Prefix           string `json:"prefix"`
	After            int64  `json:"after"`
	WaitMilliseconds int64  `json:"wait_milliseconds"`
}

// ChangeMessage is the wire form of a Change.
type ChangeMessage struct {
	Entry   EntryMessage `json:"entry"`
	Deleted bool         `json:"deleted"`
}

// ChangesMessage answers a WatchMessage.
type ChangesMessage struct {
	Changes   []ChangeMessage `json:"changes"`
	Revision  int64           `json:"revision"`
	Compacted bool            `json:"compacted,omitempty"`
}
