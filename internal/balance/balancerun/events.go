package balancerun

import (
	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

var (
	eventSearcherEjected = eventlog.Define(6100, zerolog.WarnLevel, "searcher ejected",
		"a searcher failed several times in a row or at a high rate, so this host sends it no work for a while",
		"check the target if several hosts eject it")
	eventTargetEjected = eventlog.Define(6101, zerolog.WarnLevel, "target ejected",
		"several sub-requests in a row across the searchers of a target failed, so this host sends it no work for a while",
		"check the target and the network to its failure domain if several hosts eject it")
)
