// Package dragonflymember defines an instance of a group.
package dragonflymember

// Member is one instance of a group.
type Member struct {
	// Instance is the instance's id.
	Instance string
	// AgentAddress is the IP and port of the instance's agent.
	AgentAddress string
	// EngineAddress is the IP and port of the instance's engine.
	EngineAddress string
}
