// Package forward decides how a caller's request is forwarded to the searchers
// of a route plan: which searcher gets each attempt, when to retry and to
// hedge, when a gathered answer is complete enough, and which error a caller
// gets whose request can't be served. It does no I/O and reads no clock;
// package forwardrun drives it.
package forward
