package cfbench

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"cranberryford/pkg/cferror"
)

// KindWrite means that a page or its plot cannot be made or written.
const KindWrite Kind = "measurement output failed"

// filePerm is the file mode of new pages.
const filePerm = 0o644

// placementSeeds is the number of seeds in the placement measurements.
const placementSeeds = 3

// WriteCalls measures the routing of calls and writes MEASUREMENTS.md into dir.
func WriteCalls(ctx context.Context, dir string, seed uint64) error {
	routing, err := MeasureRouting(ctx, seed)
	if err != nil {
		return err
	}
	return writePage(dir, "MEASUREMENTS.md", callsPage(routing, seed))
}

// WritePlacement measures the placement of tasks and the conflicts between plans, and
// writes PLACEMENT.md and its plot into dir.
func WritePlacement(_ context.Context, dir string, seed uint64) error {
	var placement []PlacementResult
	for s := seed; s < seed+placementSeeds; s++ {
		results, err := MeasurePlacement(s)
		if err != nil {
			return err
		}
		for i := range results {
			results[i].Scenario = fmt.Sprintf("%s, seed %d", results[i].Scenario, s)
		}
		placement = append(placement, results...)
	}
	if err := writePage(dir, "PLACEMENT.md", placementPage(placement, seed)); err != nil {
		return err
	}
	return plotPlacement(filepath.Join(dir, "placement.svg"), placement)
}

// writePage writes a page into dir.
func writePage(dir, name, text string) error {
	return cferror.Wrap("save page "+name, KindWrite, os.WriteFile(filepath.Join(dir, name), []byte(text), filePerm))
}

func callsPage(routing []RoutingResult, seed uint64) string {
	var b strings.Builder
	b.WriteString("# Measurements: sending calls\n\nMade by `go run ./cmd/cfmeasure calls docs`")
	fmt.Fprintf(&b, " with seed %d. What the figures mean is in\n[DESIGN.md](DESIGN.md); those of placing tasks are in [PLACEMENT.md](PLACEMENT.md).\n\n", seed)
	fmt.Fprintf(&b, "%d entries send to %d targets of %d slots with calls of %s; timeout %s. Small fakes in one\nprocess, with the real router and gates. Goodput is in calls a second; capacity is %.0f.\n\n",
		routeEntries, routeTargets, routeSlots, routeWork, routeTimeout, routeCapacity)
	t := table.NewWriter()
	t.AppendHeader(table.Row{"Scenario", "Policy", "p50 ms", "p99 ms", "p99.9 ms", "Goodput", "Refused %", "Late %", "Extra attempts %"})
	for _, r := range routing {
		t.AppendRow(table.Row{r.Scenario, r.Policy, ms(r.P50), ms(r.P99), ms(r.P999), fmt.Sprintf("%.0f", r.Goodput), pct(r.Refused), pct(r.Late), pct(r.Extra)})
	}
	b.WriteString(t.RenderMarkdown())
	b.WriteString("\n")
	return b.String()
}

func placementPage(placement []PlacementResult, seed uint64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Measurements: placing tasks, racing operators\n\nMade by `go run ./cmd/cfmeasure placement docs` with seeds from %d on.\n\n## Placing tasks\n\n", seed)
	fmt.Fprintf(&b, "%d workers, two services of 5 replicas, %d batch workloads. How much they slow the services down is\ndrawn at random and hidden from the policies; measurements lag by %d s; %d s in all. The replicated state,\nthe scheduler and the interference model are the real ones. p99 is that of the services' calls.\n\n",
		simWorkers, simBatchWorkloads, simLagTicks, simTicks)
	t := table.NewWriter()
	t.AppendHeader(table.Row{"Scenario", "Policy", "p50 ms", "p99 ms", "p99.9 ms", "Batch done", "Evictions"})
	for _, r := range placement {
		t.AppendRow(table.Row{r.Scenario, r.Policy, ms(r.P50), ms(r.P99), ms(r.P999), r.Done, r.Evictions})
	}
	b.WriteString(t.RenderMarkdown())
	b.WriteString("\n\n![p99 of services by placement](placement.svg)\n")
	fmt.Fprintf(&b, "\n## Racing operators\n\n%d changes by %d teams, up to %d changes between a plan and its confirmation; the share\nof confirmations that are refused.\n\n", conflictChanges, conflictTeams, conflictMaxDelay)
	t = table.NewWriter()
	t.AppendHeader(table.Row{"Rule", "Refused %"})
	for _, r := range MeasurePlanConflicts(seed) {
		t.AppendRow(table.Row{r.Rule, pct(r.Refused)})
	}
	b.WriteString(t.RenderMarkdown())
	b.WriteString("\n")
	return b.String()
}

// ms formats a duration as a number of milliseconds.
func ms(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }

// pct formats a fraction as a percentage, without the percent sign.
func pct(x float64) string { return fmt.Sprintf("%.1f", 100*x) }

// plotPlacement writes a bar chart of the services' p99 under each placement policy.
func plotPlacement(file string, results []PlacementResult) error {
	p := plot.New()
	p.Title.Text = "p99 of services by placement"
	p.Y.Label.Text = "ms"
	p.Legend.Top = true
	var names []string
	width := vg.Points(4)
	for i, policy := range placementPolicies {
		var values plotter.Values
		for _, r := range results {
			if r.Policy != policy.name {
				continue
			}
			values = append(values, float64(r.P99)/float64(time.Millisecond))
			if i == 0 {
				names = append(names, r.Scenario)
			}
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return cferror.Wrap("draw placement plot", KindWrite, err)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = width * vg.Length(i-len(placementPolicies)/2)
		p.Add(bars)
		p.Legend.Add(policy.name, bars)
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.9
	p.X.Tick.Label.XAlign = -1
	return cferror.Wrap("save placement plot", KindWrite, p.Save(26*vg.Centimeter, 14*vg.Centimeter, file))
}
