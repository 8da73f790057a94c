package hosted_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/hosted"
	"almondreel.example/almondreel/internal/mirror"
)

// Guards against an evacuation that is not seen because of its value, or that is lost or
// restored by an older item.
func TestEvacuationsAreReadFromKeys(t *testing.T) {
	v := hosted.NewView(8000)
	put := func(revision int64, key string, value []byte) []mirror.Item {
		return v.Mirror.Apply(mirror.Changes{Items: []mirror.Item{{Key: key, Value: value, Revision: revision}}, Revision: revision})
	}
	remove := func(revision int64, key string) []mirror.Item {
		return v.Mirror.Apply(mirror.Changes{Items: []mirror.Item{{Key: key, Revision: revision, Deleted: true}}, Revision: revision})
	}
	values := []string{`{}`, ``, `null`, `[`, `false`, `{"end":-1e400}`, "\xff\x00", `"north-a"`}
	for n, value := range values {
		revision := int64(10 * (n + 1))
		began := put(revision, "op/evacuate/north-a", []byte(value))
		v.Apply(began)
		require.True(t, v.Evacuated("north-a"), "%q", value)
		require.False(t, v.Evacuated("north"), "%q", value)
		v.Apply(put(revision+1, "op/evacuate/south-a", nil))
		require.True(t, v.Evacuated("south-a") && v.Evacuated("north-a"), "evacuations overlap")
		ended := remove(revision+2, "op/evacuate/north-a")
		v.Apply(ended)
		v.Apply(began)
		require.False(t, v.Evacuated("north-a"), "an older item was applied last")
		require.True(t, v.Evacuated("south-a"))
		v.Apply(remove(revision+3, "op/evacuate/south-a"))
		require.False(t, v.Evacuated("south-a"))
	}
	for n, key := range []string{"op/evacuate/", "op/evacuate", "op/evacuated/north-a", "evacuate/north-a", "op/evacuate/north-a/x", "op/evacuate/nowhere"} {
		v.Apply(put(int64(1000+n), key, []byte(`{}`)))
		require.False(t, v.Evacuated("north-a"), key)
	}

	whole := v.Mirror.Replace(mirror.Snapshot{Items: []mirror.Item{{Key: "op/evacuate/north-a", Value: []byte(`{}`), Revision: 2000}}, Revision: 2001})
	v.Apply(whole)
	require.True(t, v.Evacuated("north-a"), "it is in a listing")
	require.False(t, v.Evacuated("nowhere"), "it is missing from the listing")
}
