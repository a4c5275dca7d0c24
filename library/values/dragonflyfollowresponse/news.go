// Package dragonflyfollowresponse is control's answer to a question.
package dragonflyfollowresponse

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyendpoint"
	"dragonflyrelay.example/library/values/dragonflyserverorder"
)

// Response is what the asker did not know.
type Response struct {
	// Leads tells that the answering instance leads. If it does not, only
	// Leader and Control are set.
	Leads bool
	// Leader is the address of the leader, "" if unknown; Control lists the
	// addresses of all control instances.
	Leader  string
	Control []string
	// Age is how long ago the leader is known to have had a quorum.
	Age dragonflyduration.Duration
	// Version and Content are the routing document in compressed form, if it is
	// newer.
	Version uint64
	Content []byte
	// OutZones lists the availability zones that are taken out.
	OutZones []string
	// Entries is the number of entries that follow control.
	Entries int
	// Term and Revision identify the routing table. HasTable tells that
	// Endpoints is set; Complete that upstreams which it lacks are gone.
	Term, Revision uint64
	HasTable       bool
	Complete       bool
	Endpoints      []dragonflyendpoint.Endpoint
	// Order is what the agent is to bring about.
	Order dragonflyserverorder.Order
}
