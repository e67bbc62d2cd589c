package controller

// requiredCores returns the cores that the open jobs of a leader require, given that heldCores are
// held.
func requiredCores(l *leader, heldCores float64) float64 {
	demand := l.autoscaler.demand()
	return demand.RequiredCores(heldCores)
}
