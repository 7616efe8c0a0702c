package fault_test

import (
	"fmt"

	"gypsumcrank/core/fault"
)

// An error states its remedy, and Of finds it when it is wrapped.
func ExampleOf() {
	err := fault.New(fault.Busy, "retry later", "all 8 slots are taken").WithOutcome(fault.NotRun)
	wrapped := fmt.Errorf("send: %w", err)
	fmt.Println(fault.Of(wrapped).Outcome)
	fmt.Println(err)
	// Output:
	// not_run
	// busy: all 8 slots are taken (remedy: retry later)
}
