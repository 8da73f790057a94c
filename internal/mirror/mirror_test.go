package mirror_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/mirror"
)

func item(key string, revision int64) mirror.Item {
	return mirror.Item{Key: key, Value: []byte(key), Revision: revision}
}

func keys(m *mirror.Mirror) []string {
	var out []string
	for _, i := range m.Items() {
		out = append(out, i.Key)
	}
	return out
}

func TestApplyIgnoresOlderItems(t *testing.T) {
	m := mirror.New()
	m.Apply(mirror.Changes{Items: []mirror.Item{item("a", 5)}, Revision: 5})
	require.Empty(t, m.Apply(mirror.Changes{Items: []mirror.Item{item("a", 4)}, Revision: 4}))
	require.EqualValues(t, 5, m.Revision(), "the revision only rises")
}

func TestStaleSnapshotDoesNotRestoreDeletedItem(t *testing.T) {
	m := mirror.New()
	m.Replace(mirror.Snapshot{Items: []mirror.Item{item("gone", 3), item("stays", 4)}, Revision: 5})
	m.Apply(mirror.Changes{Items: []mirror.Item{{Key: "gone", Revision: 8, Deleted: true}}, Revision: 8})
	m.Replace(mirror.Snapshot{Items: []mirror.Item{item("gone", 3), item("stays", 4)}, Revision: 6})
	require.Equal(t, []string{"stays"}, keys(m))
}

func TestReplaceDeletesItemsMissingFromSnapshot(t *testing.T) {
	m := mirror.New()
	m.Replace(mirror.Snapshot{Items: []mirror.Item{item("a", 1), item("b", 2)}, Revision: 2})
	changed := m.Replace(mirror.Snapshot{Items: []mirror.Item{item("b", 2)}, Revision: 9})
	require.Len(t, changed, 1)
	require.True(t, changed[0].Deleted)
	require.Equal(t, []string{"b"}, keys(m))
}

// A page of a listing may contain items that changed after the listing's revision.
func TestReplaceKeepsItemsNewerThanTheSnapshot(t *testing.T) {
	m := mirror.New()
	m.Replace(mirror.Snapshot{Items: []mirror.Item{item("a", 1)}, Revision: 2})
	m.Apply(mirror.Changes{Items: []mirror.Item{item("new", 7)}, Revision: 3})
	m.Replace(mirror.Snapshot{Items: []mirror.Item{item("a", 1)}, Revision: 5})
	require.ElementsMatch(t, []string{"a", "new"}, keys(m))
}

func TestUpdateBringsAnotherProcessUpToDate(t *testing.T) {
	first, second := mirror.New(), mirror.New()
	first.Replace(mirror.Snapshot{Items: []mirror.Item{item("a", 1), item("b", 2)}, Revision: 2})
	second.ApplyUpdate(first.Since(second.Revision()))
	first.Apply(mirror.Changes{Items: []mirror.Item{{Key: "a", Revision: 3, Deleted: true}, item("c", 4)}, Revision: 4})
	changed := second.ApplyUpdate(first.Since(second.Revision()))
	require.Len(t, changed, 2)
	require.ElementsMatch(t, keys(first), keys(second))
	require.Empty(t, second.ApplyUpdate(first.Since(second.Revision())))
}

func TestUpdateIsWholeAfterDeletionsArePruned(t *testing.T) {
	first, second := mirror.New(), mirror.New()
	first.Replace(mirror.Snapshot{Items: []mirror.Item{item("old", 1)}, Revision: 1})
	second.ApplyUpdate(first.Since(0))
	first.Apply(mirror.Changes{Items: []mirror.Item{{Key: "old", Revision: 2, Deleted: true}}, Revision: 2})
	for n := range int64(600) {
		key := fmt.Sprint("k", n)
		first.Apply(mirror.Changes{Items: []mirror.Item{item(key, 3+2*n), {Key: key, Revision: 4 + 2*n, Deleted: true}}, Revision: 4 + 2*n})
	}
	update := first.Since(second.Revision())
	require.True(t, update.Whole)
	second.ApplyUpdate(update)
	require.Empty(t, keys(second))
}

func TestChangedClosesOnlyWhenAnItemChanges(t *testing.T) {
	m := mirror.New()
	changed := m.Changed()
	m.Apply(mirror.Changes{Revision: 3})
	select {
	case <-changed:
		t.Fatal("the channel closed although no item changed")
	default:
	}
	m.Apply(mirror.Changes{Items: []mirror.Item{item("a", 4)}, Revision: 4})
	<-changed
}

// A process receives an item and its later deletion from two other processes at the
// same time, and may apply them in either order. Current must drop the older one.
func TestCurrentOmitsSupersededItems(t *testing.T) {
	m := mirror.New()
	added := m.Apply(mirror.Changes{Items: []mirror.Item{{Key: "s", Value: []byte("ready"), Revision: 5}}, Revision: 5})
	removed := m.ApplyUpdate(mirror.Update{Items: []mirror.Item{{Key: "s", Revision: 6, Deleted: true}}, Revision: 6})
	require.Len(t, added, 1)
	require.Len(t, removed, 1)
	require.Equal(t, removed, m.Current(removed))
	require.Empty(t, m.Current(added))

	for n := range 600 { // until deletions are pruned
		revision := int64(10 + 2*n)
		m.Apply(mirror.Changes{Items: []mirror.Item{{Key: fmt.Sprint("t", n), Value: []byte("x"), Revision: revision}}, Revision: revision})
		m.Apply(mirror.Changes{Items: []mirror.Item{{Key: fmt.Sprint("t", n), Revision: revision + 1, Deleted: true}}, Revision: revision + 1})
	}
	require.Empty(t, m.Current(added))
}

// A rolling replacement of gateways while a server is deleted: a new process has read
// the store after the deletion and holds no record of it, and a lagging process pulls
// from the new one.
func TestUpdateFromNewProcessDeletesRemovedItem(t *testing.T) {
	const key = "a"
	lagging, started := mirror.New(), mirror.New()
	lagging.Replace(mirror.Snapshot{Items: []mirror.Item{{Key: key, Value: []byte("x"), Revision: 5}}, Revision: 8})
	started.Replace(mirror.Snapshot{Revision: 10}) // it was deleted at revision 9
	lagging.ApplyUpdate(started.Since(lagging.Revision()))
	require.EqualValues(t, 10, lagging.Revision())
	require.Empty(t, lagging.Items())
}

// The same for a process that was disconnected for a while and reloaded everything
// from the store.
func TestUpdateAfterReloadDeletesRemovedItem(t *testing.T) {
	const key = "a"
	lagging, reloaded := mirror.New(), mirror.New()
	reloaded.Replace(mirror.Snapshot{Revision: 3})
	lagging.Replace(mirror.Snapshot{Items: []mirror.Item{{Key: key, Value: []byte("x"), Revision: 5}}, Revision: 8})
	reloaded.Replace(mirror.Snapshot{Revision: 10})
	lagging.ApplyUpdate(reloaded.Since(lagging.Revision()))
	require.Empty(t, lagging.Items())
}
