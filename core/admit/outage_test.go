package admit_test

import (
	"fmt"

	"gypsumcrank/core/admit"
	"gypsumcrank/core/clock"
)

func ExampleStoreWait() {
	fmt.Println("short outage:", admit.StoreWait(2*clock.Second, 3*clock.Second))
	fmt.Println("little time left:", admit.StoreWait(2*clock.Second, 600))
	fmt.Println("long outage:", admit.StoreWait(clock.Minute, 3*clock.Second))
	// Output:
	// short outage: 400ms
	// little time left: 100ms
	// long outage: 0s
}
