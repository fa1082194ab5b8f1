package querybench

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Scale sets the number of queries per case and of parallel workers.
type Scale struct {
	Queries int // queries per case
	Wide    int // queries per case of the shape Wide
	Workers int // cases that run at once; the output does not depend on it
}

// Full and Quick are the scales of make bench and make bench-quick.
var (
	Full  = Scale{Queries: 10_000, Wide: 1_000}
	Quick = Scale{Queries: 500, Wide: 30}
)

// seed is the seed of every case, so that all rows of a table have the same
// queries and stragglers.
const seed = 20260101

// section is one table of the report.
type section struct {
	title string
	cases []Case
}

// Report runs all sections and writes their tables.
func Report(w io.Writer, scale Scale) error {
	for _, s := range sections(scale) {
		results := runAll(s.cases, scale.Workers)
		if err := writeTable(w, s.title, results); err != nil {
			return err
		}
	}
	return nil
}

// runAll runs cases on several goroutines. Cases share no state, so the results
// do not depend on the order in which they run.
func runAll(cases []Case, workers int) []Result {
	results := make([]Result, len(cases))
	next := make(chan int)
	var wg sync.WaitGroup
	for range max(1, workers) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range next {
				results[i] = Run(cases[i])
			}
		}()
	}
	for i := range cases {
		next <- i
	}
	close(next)
	wg.Wait()
	return results
}

func writeTable(w io.Writer, title string, results []Result) error {
	_, err := fmt.Fprintf(w, "## %s\n\n%s\n%s\n", title,
		"| shape | hosts | load | stragglers | fault | policy | p50 ms | p99 ms | p99.9 ms | p99 / c | coverage | in time | goodput | busy | hedges | retries | refused | overstated | late | after drain |",
		"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	if err != nil {
		return err
	}
	for i := range results {
		if err := writeRow(w, &results[i], bound(results, i)); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(w)
	return err
}

// bound returns the p99 of the policy Omniscient under the conditions of
// results[i], or zero if the table has none.
func bound(results []Result, i int) time.Duration {
	want := results[i].Case
	want.Policy = Omniscient
	for k := range results {
		if results[k].Case == want {
			return results[k].P99
		}
	}
	return 0
}

func writeRow(w io.Writer, r *Result, bound time.Duration) error {
	ratio := "-"
	if bound > 0 {
		ratio = fmt.Sprintf("%.2f", float64(r.P99)/float64(bound))
	}
	c := &r.Case
	_, err := fmt.Fprintf(w, "| %s | %d | %.0f %% | %.0f %% | %s | %s | %s | %s | %s | %s | %.4f | %.4f | %.3f | %.3f | %.2f %% | %.2f %% | %.2f %% | %d | %d | %d |\n",
		c.Shape.Name, c.Hosts, 100*c.Load, 100*c.Stragglers, c.Fault, c.Policy.Name,
		millis(r.P50), millis(r.P99), millis(r.P999), ratio, r.Coverage, r.InTime, r.Goodput, r.Busy,
		100*r.HedgeLoad, 100*r.RetryLoad, 100*r.Refused, r.Overstated, r.Late, r.AfterDrain)
	return err
}

func millis(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}
