// Package dragonflyupstreamresult is the answer of a plain service.
package dragonflyupstreamresult

// Result is a whole HTTP response.
type Result struct {
	// Status is the HTTP status.
	Status int
	// Headers are the headers, without those of the connection.
	Headers [][2]string
	// Body is the body.
	Body []byte
}
