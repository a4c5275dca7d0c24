// Package dragonflytimelinepage renders events of timelines as an HTML page.
package dragonflytimelinepage

import (
	_ "embed"
	"fmt"
	"hash/fnv"
	"html/template"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"github.com/pkg/errors"
)

const (
	pageWidth   = 1200 // width of the drawing; all sizes are in SVG units
	leftMargin  = 150  // space for the names of the processes
	rightMargin = 30
	laneHeight  = 34
	topMargin   = 34
	tickCount   = 8
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// Page is a self-contained HTML page that shows a lane for each process with a mark
// for each event, and below it a table of the events.
type Page struct {
	// Title is shown above the drawing.
	Title string
	// Events are sorted by time.
	Events []dragonflyoccurrence.Occurrence
}

// Write writes the page to w.
func (p Page) Write(w io.Writer) (err error) {
	defer func() { err = errors.WithMessage(err, "write timeline page") }()
	return pageTemplate.Execute(w, p.drawing())
}

type drawing struct {
	Title         string
	Start         string
	Width, Height int
	Left          int
	Lanes         []lane
	Ticks         []tick
	Marks         []mark
	Paths         []path
}

type lane struct {
	Name string
	Y    int
}

type tick struct {
	X    float64
	Text string
}

type mark struct {
	X         float64
	Y         int
	Hue       uint32
	Offset    string
	O         dragonflyoccurrence.Occurrence
	GroupText string
}

// path connects the marks of one request across the lanes.
type path struct {
	Request string
	Hue     uint32
	Points  string
}

func (p Page) drawing() drawing {
	d := drawing{Title: p.Title, Width: pageWidth, Left: leftMargin, Height: topMargin + laneHeight}
	if len(p.Events) == 0 {
		return d
	}
	start, span := p.Events[0].At, max(p.Events[len(p.Events)-1].At-p.Events[0].At, 1)
	d.Start = time.Unix(0, start).UTC().Format("2006-01-02 15:04:05.000000 UTC")
	x := func(at int64) float64 {
		return leftMargin + float64(pageWidth-leftMargin-rightMargin)*float64(at-start)/float64(span)
	}
	rows := p.addLanes(&d)
	for i := range tickCount + 1 {
		at := start + span*int64(i)/tickCount
		d.Ticks = append(d.Ticks, tick{x(at), offset(at - start)})
	}
	paths := map[string]*strings.Builder{}
	for _, o := range p.Events {
		m := mark{X: x(o.At), Y: rows[o.Process], Hue: hue(o.Event), Offset: offset(o.At - start), O: o}
		if o.Group != 0 {
			m.GroupText = strconv.FormatUint(o.Group, 10)
		}
		d.Marks = append(d.Marks, m)
		if o.Request == "" {
			continue
		}
		points, ok := paths[o.Request]
		if !ok {
			points = &strings.Builder{}
			paths[o.Request] = points
			d.Paths = append(d.Paths, path{Request: o.Request, Hue: hue(o.Request)})
		}
		_, _ = fmt.Fprintf(points, "%.1f,%d ", m.X, m.Y)
	}
	for i, p := range d.Paths {
		d.Paths[i].Points = paths[p.Request].String()
	}
	return d
}

// addLanes adds a lane for each process, sorted by name, and returns the y
// coordinate of the lane of each process.
func (p Page) addLanes(d *drawing) map[string]int {
	var names []string
	for _, o := range p.Events {
		if !slices.Contains(names, o.Process) {
			names = append(names, o.Process)
		}
	}
	slices.Sort(names)
	rows := map[string]int{}
	for i, n := range names {
		rows[n] = topMargin + laneHeight/2 + i*laneHeight
		d.Lanes = append(d.Lanes, lane{n, rows[n]})
	}
	d.Height = topMargin + len(names)*laneHeight + 10
	return rows
}

func offset(ns int64) string {
	return "+" + time.Duration(ns).Round(time.Microsecond).String()
}

// hue derives a colour from s, so that equal texts have equal colours: an angle of
// the colour wheel in degrees.
func hue(s string) uint32 {
	h := fnv.New32a()
	_, _ = io.WriteString(h, s)
	return h.Sum32() % 360
}
