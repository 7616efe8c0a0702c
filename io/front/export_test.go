package front

import "gypsumcrank/core/clock"

// ComeBack lets tests see when a caller is told to return.
func (f *Front) ComeBack() clock.Millis { return f.comeBack() }
