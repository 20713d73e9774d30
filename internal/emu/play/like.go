package play

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

// several are the blocks of which a script may have any number without names. Those of the script that another is like hold only where that has none.
var several = map[string]bool{"trouble": true, "surge": true}

const (
	likeName  = "like"
	mostLikes = 4 // scripts on each other
)

// body parses a script, and puts it over the one that it is like, if any.
func body(in []byte, name string, depth int) (*hclsyntax.Body, hcl.Diagnostics) {
	parsed, diagnostics := hclsyntax.ParseConfig(in, name, hcl.InitialPos)
	if diagnostics.HasErrors() {
		return nil, diagnostics
	}
	over := parsed.Body.(*hclsyntax.Body)
	like := over.Attributes[likeName]
	if like == nil {
		return over, diagnostics
	}
	delete(over.Attributes, likeName)
	fails := func(format string, args ...any) (*hclsyntax.Body, hcl.Diagnostics) {
		at := like.Expr.Range()
		return nil, append(diagnostics, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: "like", Detail: fmt.Sprintf(format, args...), Subject: &at})
	}
	value, wrong := like.Expr.Value(nil)
	if wrong.HasErrors() || !value.Type().Equals(cty.String) || value.IsNull() {
		return fails("it is no name of a file")
	}
	if depth >= mostLikes {
		return fails("%d scripts on each other are too many", depth+1)
	}
	file := filepath.Join(filepath.Dir(name), value.AsString())
	text, err := os.ReadFile(file)
	if err != nil {
		return fails("%v", err)
	}
	base, more := body(text, file, depth+1)
	if diagnostics = append(diagnostics, more...); diagnostics.HasErrors() {
		return nil, diagnostics
	}
	onto(base, over)
	return base, diagnostics
}

// onto puts a body over another: attributes go over those of the same name, blocks onto those of the same kind and name.
func onto(base, over *hclsyntax.Body) {
	maps.Copy(base.Attributes, over.Attributes)
	replaced := make(map[string]bool)
	for _, b := range over.Blocks {
		if several[b.Type] && !replaced[b.Type] {
			replaced[b.Type] = true
			base.Blocks = slices.DeleteFunc(base.Blocks, func(o *hclsyntax.Block) bool { return o.Type == b.Type })
		}
		i := slices.IndexFunc(base.Blocks, func(o *hclsyntax.Block) bool { return o.Type == b.Type && slices.Equal(o.Labels, b.Labels) })
		if several[b.Type] || i < 0 {
			base.Blocks = append(base.Blocks, b)
		} else {
			onto(base.Blocks[i].Body, b.Body)
		}
	}
}
