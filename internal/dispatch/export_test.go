package dispatch

import "almondreel.example/almondreel/internal/route"

// RouterOf returns the router of a dispatcher.
func RouterOf(d *Dispatcher) *route.Router { return d.router }
