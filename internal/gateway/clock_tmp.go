package gateway

import "time"

// trueTime returns the time of day.
func (g *Gateway) trueTime() time.Time { return time.Now() }
