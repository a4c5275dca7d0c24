// Package dragonflymodelload defines the state of the groups of one model, as the leader
// sees it when it plans by demand.
package dragonflymodelload

// Load is the use of the groups of one model of a service.
type Load struct {
	// Model names the model. Share is its configured share, Size the number of engines of
	// a group and Pace the factor on the times of its groups, 1 if none is configured.
	Model string
	Share float64
	Size  int
	Pace  float64
	// Groups is the number of groups that serve.
	Groups int
	// Busy is the number of groups whose slots are in use: the sum, over the groups that
	// serve, of the used share of their slots, at most 1 each.
	Busy float64
}
