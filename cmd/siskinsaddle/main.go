// Command siskinsaddle routes language-model traffic with service levels and
// priorities. Package verbs implements the command line.
package main

import (
	"os"

	"siskinsaddle/internal/tools/verbs"
)

func main() {
	os.Exit(verbs.Main(os.Args[1:], os.Stdout, os.Stderr))
}
