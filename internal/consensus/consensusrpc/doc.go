// Package consensusrpc carries the messages of package consensus over Twirp.
package consensusrpc
