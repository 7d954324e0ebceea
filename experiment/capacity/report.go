package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// Print writes the measurements and the fitted lines as tables.
func (report Report) Print(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	header := "members\tservices\ttargets"
	for _, quantity := range quantities() {
		header += fmt.Sprintf("\t%s (%s)", quantity.name, quantity.unit)
	}
	_, _ = fmt.Fprintln(table, header)
	for _, measurement := range report.Measurements {
		size := measurement.Size
		row := fmt.Sprintf("%d\t%d\t%d", size.Members, size.Services, size.Targets)
		for _, quantity := range quantities() {
			row += fmt.Sprintf("\t%.3g", quantity.value(measurement))
		}
		_, _ = fmt.Fprintln(table, row)
	}
	for _, listing := range report.Listings {
		_, _ = fmt.Fprintf(table, "%d members: list %d B, %v; view %d B\n",
			listing.Members, listing.ListBytes, listing.ListTime, listing.ViewBytes)
	}
	target := report.Config.Target
	printLines(table, fmt.Sprintf("member, at %d services", target.Services), report.ByMembers)
	printLines(table, fmt.Sprintf("service, at %d members", target.Members), report.ByServices)
	return eris.Wrap(table.Flush(), "print the capacity report; check that the output is writable")
}

func printLines(table io.Writer, unit string, lines []FittedLine) {
	_, _ = fmt.Fprintf(table, "\nslopes per %s\n", unit)
	_, _ = fmt.Fprintln(table, "quantity\tintercept\tslope\tlargest residual\tat the target")
	for _, fittedLine := range lines {
		_, _ = fmt.Fprintf(table, "%s (%s)\t%.3g\t%.3g\t%.0f %%\t%.3g\n",
			fittedLine.Name, fittedLine.Unit, fittedLine.Line.Intercept, fittedLine.Line.Slope,
			100*fittedLine.Line.Residual, fittedLine.AtTarget)
	}
}
