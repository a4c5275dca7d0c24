// Package dragonflyupstreamresult defines the response of a plain service.
package dragonflyupstreamresult

// Result is a complete HTTP response.
type Result struct {
	// Status is the HTTP status code.
	Status int
	// Headers are the names and values of the headers, without hop-by-hop headers.
	Headers [][2]string
	Body    []byte
}
