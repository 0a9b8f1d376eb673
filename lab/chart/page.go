// This file owns the HTML page of charts, tables and notes. The page must never refer to another file or address.

package chart

import (
	"bytes"
	"html/template"
	"strings"
)

// Table is a header and rows of text cells.
type Table struct {
	Title string
	Head  []string
	Rows  [][]string
}

// Page is the content of an HTML page.
type Page struct {
	Title  string
	About  string
	Tables []Table
	Charts []*Chart
	Notes  []string // preformatted text
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;max-width:72rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:1rem 0;font-variant-numeric:tabular-nums}
th,td{border-bottom:1px solid #ddd;padding:.25rem .7rem;text-align:right}th:first-child,td:first-child{text-align:left}
figure{margin:1.5rem 0}svg{max-width:100%;height:auto}pre{background:#f5f5f5;padding:1rem;overflow:auto;font-size:13px}
.scroll{overflow:auto}
</style></head><body>
<h1>{{.Title}}</h1><p>{{.About}}</p>
{{range .Tables}}<h2>{{.Title}}</h2><div class="scroll"><table><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table></div>{{end}}
{{range .Images}}<figure>{{.}}</figure>
{{end}}{{range .Notes}}<pre>{{.}}</pre>{{end}}
</body></html>
`))

// HTML renders the page.
func (p *Page) HTML() ([]byte, error) {
	var images []template.HTML
	for _, c := range p.Charts {
		svg, err := c.Image("svg")
		if err != nil {
			return nil, err
		}
		element := string(svg)
		if i := strings.Index(element, "<svg"); i > 0 { // drop the XML declaration
			element = element[i:]
		}
		images = append(images, template.HTML(element)) // safe: the plot library escapes all text that it draws
	}
	var out bytes.Buffer
	err := pageTemplate.Execute(&out, struct {
		*Page
		Images []template.HTML
	}{p, images})
	return out.Bytes(), err
}

// Markdown renders the table as Markdown.
func (t Table) Markdown() string {
	var b strings.Builder
	writeRow := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	writeRow(t.Head)
	separator := make([]string, len(t.Head))
	for i := range separator {
		separator[i] = "---"
	}
	writeRow(separator)
	for _, r := range t.Rows {
		writeRow(r)
	}
	return b.String()
}
