package partitioner_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/partitioner"
	"zinniashore.example/platform"
	"zinniashore.example/standin"
)

const (
	partitionKey = "zinniashore/partition"
	termPrefix   = "zinniashore/terms/"
	domain       = "graz-a"
	waitLimit    = 15 * time.Second
)

func startStore(t *testing.T) (*standin.PlatformStore, *platform.Store) {
	t.Helper()
	store := &standin.PlatformStore{}
	address, err := standin.Listen(t.Context(), "127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	return store, platform.NewStore(address)
}

// register registers workers of a failure domain, 20 in a rack.
func register(store *standin.PlatformStore, from, to int) {
	for i := from; i < to; i++ {
		store.Put(fmt.Sprintf("%si-%03d", platform.RegistrationPrefix, i), fmt.Appendf(nil,
			`{"service":"shop","address":"127.0.0.1:%d","zone":%q,"state":"ready","capacity":{"cpu":64000,"mem-mb":250000},"labels":["a","r1-%d"]}`,
			10000+i, domain, i/20))
	}
}

func newPartitioner(store *platform.Store) *partitioner.Partitioner {
	return &partitioner.Partitioner{Store: store, Clock: clockwork.NewRealClock(), Key: partitionKey, TermPrefix: termPrefix}
}

// partition runs several processes that find out the partition and returns what each found.
func partition(t *testing.T, store *platform.Store, processes int) []partitioner.Partition {
	t.Helper()
	found := make(chan partitioner.Partition, processes)
	for range processes {
		go func() {
			p, err := newPartitioner(store).Partition(t.Context())
			if err != nil {
				t.Error(err)
			}
			found <- p
		}()
	}
	var all []partitioner.Partition
	for range processes {
		select {
		case p := <-found:
			all = append(all, p)
		case <-time.After(waitLimit):
			t.Fatal("a process does not find out the partition")
		}
	}
	return all
}

// TestPartitionOfManyProcesses guards against two processes that divide a failure domain
// differently while its workers register.
func TestPartitionOfManyProcesses(t *testing.T) {
	t.Parallel()
	store, client := startStore(t)
	register(store, 0, 90)
	go func() {
		time.Sleep(700 * time.Millisecond)
		register(store, 90, 220)
	}()
	for _, p := range partition(t, client, 8) {
		if got, want := p.Cells(domain), []string{"graz-a#1", "graz-a#2"}; !slices.Equal(got, want) {
			t.Errorf("the cells are %q, want %q", got, want)
		}
	}
}

// TestPartitionLasts guards against a worker that changes its cell after a restart of all
// processes: the cells stay as stored, whatever is registered then.
func TestPartitionLasts(t *testing.T) {
	t.Parallel()
	store, client := startStore(t)
	register(store, 0, 100)
	before := partition(t, client, 1)[0]
	register(store, 100, 500)
	after := partition(t, client, 1)[0]
	if got, want := after.Cells(domain), before.Cells(domain); !slices.Equal(got, want) {
		t.Errorf("the cells are %q after the restart and %q before", got, want)
	}
}

// TestPartitionOfUsedCell guards against jobs that nobody runs any more, as their cell was divided
// by a newer version of this program.
func TestPartitionOfUsedCell(t *testing.T) {
	t.Parallel()
	store, client := startStore(t)
	register(store, 0, 220)
	store.Put(termPrefix+domain, []byte("{}"))
	if got := partition(t, client, 1)[0].Cells(domain); !slices.Equal(got, []string{domain}) {
		t.Errorf("the cells are %q, want the one that has a term", got)
	}
}

// TestPartitionWithoutWorkers guards against a process that never becomes ready since no worker
// has registered.
func TestPartitionWithoutWorkers(t *testing.T) {
	t.Parallel()
	_, client := startStore(t)
	if got := partition(t, client, 1)[0].Cells(domain); !slices.Equal(got, []string{domain}) {
		t.Errorf("the cells are %q, want one of the domain's name", got)
	}
}

// TestMalformedPartition guards against a process that takes a partition that it can't read
// for none: it must not claim any cell.
func TestMalformedPartition(t *testing.T) {
	t.Parallel()
	store, client := startStore(t)
	register(store, 0, 20)
	store.Put(partitionKey, []byte(`{"failure_domains":{"graz-a":{"cells":0}}}`))
	found := make(chan struct{})
	go func() {
		defer close(found)
		_, _ = newPartitioner(client).Partition(t.Context())
	}()
	select {
	case <-found:
		t.Error("a partition without cells was taken")
	case <-time.After(2 * time.Second):
	}
}

// countingStore counts the lists of the registry.
type countingStore struct {
	*platform.Store
	lists atomic.Int64
}

func (c *countingStore) List(ctx context.Context, prefix string) ([]platform.Item, int64, error) {
	if prefix == platform.RegistrationPrefix {
		c.lists.Add(1)
	}
	return c.Store.List(ctx, prefix)
}

// TestRegistryIsReadByOneProcess guards against a store whose link is full since each of hundreds of
// processes reads thousands of registrations again and again, so that no process ever starts.
func TestRegistryIsReadByOneProcess(t *testing.T) {
	t.Parallel()
	const processes, workers, most = 40, 400, 40 + 12
	store, client := startStore(t)
	register(store, 0, workers)
	counting := &countingStore{Store: client}
	var waiting sync.WaitGroup
	for range processes {
		waiting.Go(func() {
			p := newPartitioner(client)
			p.Store = counting
			if _, err := p.Partition(t.Context()); err != nil {
				t.Error(err)
			}
		})
	}
	waiting.Wait()
	if lists := counting.lists.Load(); lists > most {
		t.Errorf("%d processes read the registry %d times, want at most %d: once each, and one of them until it has settled", processes, lists, most)
	}
}

// TestLostDivider guards against processes that wait for ever for one that ended before it had
// divided the failure domains.
func TestLostDivider(t *testing.T) {
	t.Parallel()
	store, client := startStore(t)
	register(store, 0, 400)
	store.Put(partitionKey+"/divider", nil)
	go func() {
		time.Sleep(500 * time.Millisecond)
		store.Remove(partitionKey + "/divider")
	}()
	if got := partition(t, client, 3)[0].Cells(domain); len(got) != 4 {
		t.Errorf("the cells are %q, want four", got)
	}
}
