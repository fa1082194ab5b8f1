// Package httpanswer says which HTTP responses are an answer to a request. Parsers accept
// any number of three digits as a status, from 000 on; a sender with such a status is
// broken, and what follows on its connection belongs to no request.
package httpanswer

import "github.com/cockroachdb/errors"

// Final reports whether a status ends the response to a request: 200 to 599, the classes
// of RFC 9110, section 15, without the interim one.
func Final(status int) bool { return status >= 200 && status <= 599 }

// Interim reports whether a final response follows one with this status. 101 is not among
// them: it ends HTTP on the connection, which no request of ours asks for.
func Interim(status int) bool { return status >= 100 && status <= 199 && status != 101 }

// Success reports whether a status is of the class 2xx.
func Success(status int) bool { return status >= 200 && status <= 299 }

// NotAnAnswer returns the error for a status that is neither final nor expected. The
// connection must be closed; whether the request has run is not known.
func NotAnAnswer(status int) error {
	return errors.Newf("status %03d is not that of an answer", status)
}
