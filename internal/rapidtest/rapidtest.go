// Package rapidtest runs the tests of a package with a fixed seed for random tests, so
// that each run has the same verdict.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// DefaultChecks is the number of runs of each random test where none needs another.
const DefaultChecks = 100

// Main runs the tests and ends the process. Each random test has the given number of
// runs; flags override it and the seed.
func Main(m *testing.M, checks int) {
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
