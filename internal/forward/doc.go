// Package forward decides how a caller's request reaches the searchers of a
// route plan: which searcher is asked, when another one is asked as well, when
// a gathered answer is complete enough, and what a request that can't be
// served is told. It does no I/O and reads no clock; package forwardrun drives
// it.
package forward
