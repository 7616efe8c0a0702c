package clock_test

import (
	"fmt"

	"gypsumcrank/core/clock"
)

// A manual clock makes time a value that a test holds in its hand.
func Example() {
	c := clock.Manual(0)
	c.Advance(1500 * clock.Millisecond)
	fmt.Println(c.Now())
	// Output: 1.5s
}
