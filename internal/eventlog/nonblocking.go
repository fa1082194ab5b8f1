package eventlog

import (
	"fmt"
	"io"

	"github.com/rs/zerolog/diode"
)

// outputLines is the number of lines that wait for a slow output. At a
// kilobyte a line they take half a megabyte.
const outputLines = 512

// NonBlocking returns a writer that never makes its callers wait. An output
// that nobody reads costs the oldest waiting lines, and their number is written
// once the output takes lines again.
func NonBlocking(w io.Writer) io.WriteCloser {
	return diode.NewWriter(w, outputLines, 0, func(missed int) {
		// The waiting lines were overwritten; this one goes behind them.
		fmt.Fprintf(w, `{"level":"warn","event":%d,"message":%q,"lines":%d}`+"\n", eventLinesDropped.ID, eventLinesDropped.Name, missed)
	})
}
