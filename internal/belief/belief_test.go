package belief_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/belief"
)

func item(key string, revision int64) belief.Item {
	return belief.Item{Key: key, Value: []byte(key), Revision: revision}
}

func keys(b *belief.Beliefs) []string {
	var out []string
	for _, i := range b.Items() {
		out = append(out, i.Key)
	}
	return out
}

func TestOlderItemsChangeNothing(t *testing.T) {
	b := belief.New()
	b.Apply(belief.Changes{Items: []belief.Item{item("a", 5)}, Revision: 5})
	require.Empty(t, b.Apply(belief.Changes{Items: []belief.Item{item("a", 4)}, Revision: 4}))
	require.EqualValues(t, 5, b.Revision(), "the revision only rises")
}

func TestAStaleSnapshotBringsNothingBack(t *testing.T) {
	b := belief.New()
	b.Replace(belief.Snapshot{Items: []belief.Item{item("gone", 3), item("stays", 4)}, Revision: 5})
	b.Apply(belief.Changes{Items: []belief.Item{{Key: "gone", Revision: 8, Deleted: true}}, Revision: 8})
	b.Replace(belief.Snapshot{Items: []belief.Item{item("gone", 3), item("stays", 4)}, Revision: 6})
	require.Equal(t, []string{"stays"}, keys(b))
}

func TestASnapshotRemovesWhatItLacks(t *testing.T) {
	b := belief.New()
	b.Replace(belief.Snapshot{Items: []belief.Item{item("a", 1), item("b", 2)}, Revision: 2})
	news := b.Replace(belief.Snapshot{Items: []belief.Item{item("b", 2)}, Revision: 9})
	require.Len(t, news, 1)
	require.True(t, news[0].Deleted)
	require.Equal(t, []string{"b"}, keys(b))
}

// A page of a listing may hold items that changed after its revision.
func TestAnItemNewerThanTheSnapshotStays(t *testing.T) {
	b := belief.New()
	b.Replace(belief.Snapshot{Items: []belief.Item{item("a", 1)}, Revision: 2})
	b.Apply(belief.Changes{Items: []belief.Item{item("new", 7)}, Revision: 3})
	b.Replace(belief.Snapshot{Items: []belief.Item{item("a", 1)}, Revision: 5})
	require.ElementsMatch(t, []string{"a", "new"}, keys(b))
}

func TestAnotherProcessIsToldWhatItLacks(t *testing.T) {
	first, second := belief.New(), belief.New()
	first.Replace(belief.Snapshot{Items: []belief.Item{item("a", 1), item("b", 2)}, Revision: 2})
	second.Adopt(first.Since(second.Revision()))
	first.Apply(belief.Changes{Items: []belief.Item{{Key: "a", Revision: 3, Deleted: true}, item("c", 4)}, Revision: 4})
	news := second.Adopt(first.Since(second.Revision()))
	require.Len(t, news, 2)
	require.ElementsMatch(t, keys(first), keys(second))
	require.Empty(t, second.Adopt(first.Since(second.Revision())))
}

func TestForgottenDeletionsAreToldAsAWhole(t *testing.T) {
	first, second := belief.New(), belief.New()
	first.Replace(belief.Snapshot{Items: []belief.Item{item("old", 1)}, Revision: 1})
	second.Adopt(first.Since(0))
	first.Apply(belief.Changes{Items: []belief.Item{{Key: "old", Revision: 2, Deleted: true}}, Revision: 2})
	for n := range int64(600) {
		key := fmt.Sprint("k", n)
		first.Apply(belief.Changes{Items: []belief.Item{item(key, 3+2*n), {Key: key, Revision: 4 + 2*n, Deleted: true}}, Revision: 4 + 2*n})
	}
	update := first.Since(second.Revision())
	require.True(t, update.Whole)
	second.Adopt(update)
	require.Empty(t, keys(second))
}

func TestChangedClosesOnlyForNews(t *testing.T) {
	b := belief.New()
	changed := b.Changed()
	b.Apply(belief.Changes{Revision: 3})
	select {
	case <-changed:
		t.Fatal("nothing changed")
	default:
	}
	b.Apply(belief.Changes{Items: []belief.Item{item("a", 4)}, Revision: 4})
	<-changed
}

// Pattern: two neighbours tell a process of one server at once, the one that it
// is there, the other that it has gone. Whichever is acted on last, it has gone.
func TestAnOlderItemIsNotActedOnAfterANewerOne(t *testing.T) {
	b := belief.New()
	there := b.Apply(belief.Changes{Items: []belief.Item{{Key: "s", Value: []byte("ready"), Revision: 5}}, Revision: 5})
	gone := b.Adopt(belief.Update{Items: []belief.Item{{Key: "s", Revision: 6, Deleted: true}}, Revision: 6})
	require.Len(t, there, 1)
	require.Len(t, gone, 1)
	require.Equal(t, gone, b.Newest(gone))
	require.Empty(t, b.Newest(there))

	for n := range 600 { // until deletions are forgotten
		revision := int64(10 + 2*n)
		b.Apply(belief.Changes{Items: []belief.Item{{Key: fmt.Sprint("t", n), Value: []byte("x"), Revision: revision}}, Revision: revision})
		b.Apply(belief.Changes{Items: []belief.Item{{Key: fmt.Sprint("t", n), Revision: revision + 1, Deleted: true}}, Revision: revision + 1})
	}
	require.Empty(t, b.Newest(there))
}

// Pattern: gateways are replaced one after the other while a server leaves. One
// that has just started knows from the store that the server is not there, not
// that it was; another that was a moment behind pulls from it.
func TestADeletionIsNotLostByAProcessThatHasJustStarted(t *testing.T) {
	const key = "a"
	behind, started := belief.New(), belief.New()
	behind.Replace(belief.Snapshot{Items: []belief.Item{{Key: key, Value: []byte("x"), Revision: 5}}, Revision: 8})
	started.Replace(belief.Snapshot{Revision: 10}) // it was deleted at revision 9
	behind.Adopt(started.Since(behind.Revision()))
	require.EqualValues(t, 10, behind.Revision())
	require.Empty(t, behind.Items())
}

// The same for one that was away for a while and read everything anew.
func TestADeletionIsNotLostByAProcessThatWasAway(t *testing.T) {
	const key = "a"
	behind, away := belief.New(), belief.New()
	away.Replace(belief.Snapshot{Revision: 3})
	behind.Replace(belief.Snapshot{Items: []belief.Item{{Key: key, Value: []byte("x"), Revision: 5}}, Revision: 8})
	away.Replace(belief.Snapshot{Revision: 10})
	behind.Adopt(away.Since(behind.Revision()))
	require.Empty(t, behind.Items())
}
