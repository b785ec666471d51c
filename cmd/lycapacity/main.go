// Command lycapacity measures the costs of control that docs/CAPACITY.md uses.
package main

import (
	"fmt"
	"os"

	"github.com/lycheerudder/lycheerudder/internal/capacity"
)

func main() {
	part := ""
	if len(os.Args) > 1 {
		part = os.Args[1]
	}
	if err := capacity.Write(os.Stdout, part); err != nil {
		fmt.Fprintln(os.Stderr, "lycapacity:", err)
		os.Exit(1)
	}
}
