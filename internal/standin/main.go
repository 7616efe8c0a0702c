// Command standin runs one stand-in of an outside system: the platform's store,
// an endpoint with its worker, or a network link that can be cut.
package main

import "gypsumcrank/internal/standin/prog"

func main() { prog.Main() }
