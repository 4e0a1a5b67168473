package commander

import (
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"rattanhoist.example/rattanhoist/narrator"
)

// explainLogs prints the history of a request from log files.
func (a *app) explainLogs(files []string, id string) error {
	all, err := a.readLogs(files)
	if err != nil {
		return err
	}
	story := narrator.History(all, id)
	if len(story) == 0 {
		return merry.Errorf("no line of %d names request %q; routers write one for each request that they answer", len(all), id)
	}
	if a.output == outputJSON {
		return a.printValue(append(narrator.StateBefore(all, story), story...))
	}
	var rows [][]any
	for _, l := range append(narrator.StateBefore(all, story), story...) {
		mark := "-"
		if l.Own {
			mark = id
		}
		rows = append(rows, []any{l.Time().Format("15:04:05.000"), showOffset(l.Offset), l.Process, mark, l.Message, l.Text()})
	}
	return a.printTable("TIME CLOCK PROCESS REQUEST MESSAGE FIELDS", rows)
}

func showOffset(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.Round(100 * time.Millisecond).String()
}

func (a *app) readLogs(files []string) ([]*narrator.Line, error) {
	var all []*narrator.Line
	for _, file := range files {
		lines, err := a.readLog(file)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func (a *app) readLog(file string) (lines []*narrator.Line, err error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, merry.Errorf("%w: %s", ErrUsage, err.Error())
	}
	defer f.Close()
	lines, skipped, err := narrator.Read(f, file)
	if err != nil {
		return nil, merry.Errorf("%w: %s: %s", ErrUsage, file, err.Error())
	}
	if skipped > 0 {
		a.warn("%s: %d lines are not of the product's log", file, skipped)
	}
	return lines, nil
}
