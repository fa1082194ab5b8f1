package eventlog

import (
	"fmt"
	"io"

	"github.com/rs/zerolog/diode"
)

// outputLines is the number of lines that are buffered for a slow output. At a
// kilobyte a line they take half a megabyte.
const outputLines = 512

// NonBlocking returns a writer that never blocks. If w is too slow, the oldest
// buffered lines are dropped, and their number is written to w once it accepts
// lines again.
func NonBlocking(w io.Writer) io.WriteCloser {
	return diode.NewWriter(w, outputLines, 0, func(missed int) {
		// The goroutine that writes to w calls this function, so lines don't interleave.
		fmt.Fprintf(w, `{"level":"warn","event":%d,"message":%q,"lines":%d}`+"\n", eventLinesDropped.ID, eventLinesDropped.Name, missed)
	})
}
