// Package consensusrpc carries the messages of package consensus over twirp,
// and forwards proposals and reads to the leader.
package consensusrpc
