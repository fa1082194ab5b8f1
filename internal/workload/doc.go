// Package workload estimates how much work requests are and how much work
// searchers have: the cost of a request by what a host sees before it sends it,
// the unfinished work that this host has at a searcher, the searcher's pace, the
// wait that other hosts' requests cause there, and what the searcher reports about
// itself. Packages forward and balance choose searchers by these estimates.
//
// It does no I/O and reads no clock. docs/design/routing-by-cost.md describes the
// model and its sources.
package workload
