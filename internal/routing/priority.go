package routing

import "fmt"

var priorityNames = [...]string{PriorityNormal: "normal", PriorityHigh: "high", PriorityLow: "low"}

// String returns the priority as it appears in change files.
func (p Priority) String() string {
	if int(p) < len(priorityNames) {
		return priorityNames[p]
	}
	return fmt.Sprintf("priority(%d)", uint8(p))
}

// ParsePriority reads the form that String writes. Empty text is
// PriorityNormal.
func ParsePriority(text string) (Priority, bool) {
	if text == "" {
		return PriorityNormal, true
	}
	for p, name := range priorityNames {
		if name == text {
			return Priority(p), true
		}
	}
	return PriorityNormal, false
}
