// Command standin runs a stand-in for one external system: the platform's
// store, an endpoint with its worker, or a network link that can be cut.
package main

import "gypsumcrank/internal/standin/prog"

func main() { prog.Main() }
