// Package source reads manifests and weights from the origin and from the weight store.
//
// Both speak the same HTTP: weights are one object a version and take range
// requests. A chunk's digest is checked by the reader, never by the source.
package source

// ManifestPath answers the manifest of a version as JSON.
func ManifestPath(model, version string) string {
	return "/v1/models/" + model + "/" + version + "/manifest"
}

// WeightsPath answers the weights of a version; send a Range header.
func WeightsPath(model, version string) string {
	return "/v1/models/" + model + "/" + version + "/weights"
}

// Kind tells the two sources apart.
type Kind string

// Kinds of source.
const (
	Origin Kind = "Origin"
	Store  Kind = "Store"
)
