// Package source is the client of the origin and the weight store, from which it
// reads manifests and weights.
//
// Both have the same HTTP API: the weights of a version are one object that supports
// range requests. The reader verifies a chunk's digest; the source does not.
package source

// ManifestPath returns the path of a version's manifest, which is JSON.
func ManifestPath(model, version string) string {
	return "/v1/models/" + model + "/" + version + "/manifest"
}

// WeightsPath returns the path of a version's weights, which are read with a Range
// header.
func WeightsPath(model, version string) string {
	return "/v1/models/" + model + "/" + version + "/weights"
}

// Kind is the kind of a source: the origin or the weight store.
type Kind string

// Kinds of source.
const (
	Origin Kind = "Origin"
	Store  Kind = "Store"
)
