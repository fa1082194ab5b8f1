package forward

// ExtraReason is why a searcher gets a request beyond the first attempt.
type ExtraReason uint8

// Reasons of extra attempts.
const (
	ExtraHedge            ExtraReason = iota // another attempt is still in flight
	ExtraAfterRejection                      // a searcher rejected the request
	ExtraAfterMisdirected                    // another searcher had the address
	ExtraAfterFailure                        // the reply was lost, or reported a failure
	extraReasons                             // their number
)

var extraReasonNames = [extraReasons]string{"hedge", "rejected", "misdirected", "failed"}

// String returns the name of the reason in logs and metrics.
func (r ExtraReason) String() string { return extraReasonNames[r] }

// AllExtraReasons returns the reasons in the order of ExtraReasonCounts.
func AllExtraReasons() []ExtraReason {
	return []ExtraReason{ExtraHedge, ExtraAfterRejection, ExtraAfterMisdirected, ExtraAfterFailure}
}

// ExtraReasonCounts counts extra attempts by reason.
type ExtraReasonCounts [extraReasons]int

// Sum returns the number of extra attempts.
func (c ExtraReasonCounts) Sum() (n int) {
	for _, k := range c {
		n += k
	}
	return n
}

// extraReason returns the reason of a further attempt of a sub-request.
func (sub *subRequest) extraReason() ExtraReason {
	if sub.openAttempt() != nil {
		return ExtraHedge
	}
	switch sub.lastReached() {
	case Rejected:
		return ExtraAfterRejection
	case Misdirected:
		return ExtraAfterMisdirected
	default:
		return ExtraAfterFailure
	}
}

// lastReached returns the result of the last ended attempt that may have reached a
// searcher, or Unsent if there is none.
func (sub *subRequest) lastReached() Result {
	for i := len(sub.attempts) - 1; i >= 0; i-- {
		if a := sub.attempts[i]; !a.Open && a.Result != Unsent {
			return a.Result
		}
	}
	return Unsent
}
