package journal

import (
	"fmt"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Codes of the errors of this package.
const (
	CodeStorageFull verdict.Code = "storage_full"
	CodeQueueFull   verdict.Code = "journal_queue_full"
	CodeOutOfOrder  verdict.Code = "journal_out_of_order"
)

// CorruptError reports where the durable state is damaged. Open returns it.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// FatalError reports a failure after which it is unknown what the disk holds.
// The process must exit; the next start recovers the state from the disk.
type FatalError struct {
	Op    string
	cause error
}

// Error implements error.
func (e *FatalError) Error() string {
	return fmt.Sprintf("journal: %s failed, the process must exit: %v", e.Op, e.cause)
}

// Unwrap returns the cause.
func (e *FatalError) Unwrap() error { return e.cause }
