// Package soakseeds chooses the seeds of soak tests. The daemons do not use it.
package soakseeds

import (
	"math/rand/v2"
	"os"
	"slices"
	"strconv"

	"almondreel.example/almondreel/internal/errs"
)

const (
	// defaultSeed is the seed of a run with neither SEED nor SOAK set.
	defaultSeed = 1
	// randomSeeds is the number of random seeds with SOAK=1.
	randomSeeds = 50
	// seedsPerLargeSite selects the large site for every seed that it divides, and the grown
	// site for every seed before one of these.
	seedsPerLargeSite = 10
)

// Choose returns one fixed seed; with the environment's SEED=n, seed n; and with SOAK=1 the
// regression seeds and fifty random ones. It returns an error if SEED is not a number.
func Choose(regression []uint64) ([]uint64, error) {
	if text := os.Getenv("SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		return []uint64{seed}, errs.Wrap(err, "read seed", "SEED")
	}
	if os.Getenv("SOAK") == "" {
		return []uint64{defaultSeed}, nil
	}
	seeds := slices.Clone(regression)
	for range randomSeeds {
		seeds = append(seeds, rand.Uint64())
	}
	return seeds, nil
}

// Large reports whether a seed's run has a large site.
func Large(seed uint64) bool { return seed%seedsPerLargeSite == 0 }

// Grown reports whether a seed's run has a site of the size of the largest in use, if the
// soak has one.
func Grown(seed uint64) bool { return seed%seedsPerLargeSite == seedsPerLargeSite-1 }

// Alone reports whether a seed's run is too large for others beside it.
func Alone(seed uint64) bool { return Large(seed) || Grown(seed) }
