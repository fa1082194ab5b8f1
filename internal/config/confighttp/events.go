package confighttp

import (
	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

var (
	eventAccepted = eventlog.Define(7000, zerolog.InfoLevel, "change accepted",
		"an operator pushed a change and it is in the log of a majority",
		"none; hawthornlock change wait shows when every host has it in force")
	eventRefused = eventlog.Define(7001, zerolog.InfoLevel, "change refused",
		"an operator pushed a change that breaks a rule or conflicts with another one",
		"see the code and message; the change did not run")
	eventOutcomeUnknown = eventlog.Define(7002, zerolog.WarnLevel, "change outcome unknown",
		"a majority of the voters did not confirm a change in time",
		"check with hawthornlock change status, or push the same change again")
	eventUnauthorized = eventlog.Define(7003, zerolog.WarnLevel, "administration request not authorized",
		"a request had no token, a wrong one, or one of another team",
		"check the token of the operator; many of these from one address may be an attempt to guess one")
	eventDrain = eventlog.Define(7004, zerolog.InfoLevel, "host drain requested",
		"an operator asked a host to refuse new work and stay up",
		"none; hawthornlock host resume ends the drain")
	eventMalformed = eventlog.Define(7005, zerolog.InfoLevel, "administration request malformed",
		"a request could not be read, had an unknown field or was too large",
		"correct the request; it did not run")
	eventResume = eventlog.Define(7006, zerolog.InfoLevel, "host resume requested",
		"an operator ended the drain of a host",
		"none; readiness is true again once the host serves")
	eventRemoveVoter = eventlog.Define(7007, zerolog.WarnLevel, "voter removal requested",
		"an operator asked to revoke the vote of an identity",
		"none if it was intended; hawthornlock voter list shows the remaining voters")
	eventDomain = eventlog.Define(7008, zerolog.WarnLevel, "failure domain ordered",
		"an operator asked this host to withdraw or restore a failure domain",
		"none if it was accepted; otherwise send the order again")
)
