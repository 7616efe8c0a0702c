package clock_test

import (
	"fmt"

	"gypsumcrank/core/clock"
)

// With a manual clock a test decides how time passes.
func Example() {
	c := clock.Manual(0)
	c.Advance(1500 * clock.Millisecond)
	fmt.Println(c.Now())
	// Output: 1.5s
}
