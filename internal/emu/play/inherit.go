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

// repeatable are the unnamed block types that may occur any number of times. If a script has any of a type, they
// replace all of that type in its base script.
var repeatable = map[string]bool{"trouble": true, "surge": true}

const (
	baseAttribute = "like"
	maxBaseDepth  = 4
)

// parseBody parses a script and merges it onto its base script, if it names one with like.
func parseBody(in []byte, name string, depth int) (*hclsyntax.Body, hcl.Diagnostics) {
	parsed, diagnostics := hclsyntax.ParseConfig(in, name, hcl.InitialPos)
	if diagnostics.HasErrors() {
		return nil, diagnostics
	}
	over := parsed.Body.(*hclsyntax.Body)
	like := over.Attributes[baseAttribute]
	if like == nil {
		return over, diagnostics
	}
	delete(over.Attributes, baseAttribute)
	fails := func(format string, args ...any) (*hclsyntax.Body, hcl.Diagnostics) {
		at := like.Expr.Range()
		return nil, append(diagnostics, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: "like", Detail: fmt.Sprintf(format, args...), Subject: &at})
	}
	value, wrong := like.Expr.Value(nil)
	if wrong.HasErrors() || !value.Type().Equals(cty.String) || value.IsNull() {
		return fails("the value is not a file name")
	}
	if depth >= maxBaseDepth {
		return fails("%d levels of base scripts are too many", depth+1)
	}
	file := filepath.Join(filepath.Dir(name), value.AsString())
	text, err := os.ReadFile(file)
	if err != nil {
		return fails("%v", err)
	}
	base, more := parseBody(text, file, depth+1)
	if diagnostics = append(diagnostics, more...); diagnostics.HasErrors() {
		return nil, diagnostics
	}
	mergeBody(base, over)
	return base, diagnostics
}

// mergeBody merges a body onto a base: attributes replace those of the same name, and blocks are merged with those of
// the same type and labels.
func mergeBody(base, over *hclsyntax.Body) {
	maps.Copy(base.Attributes, over.Attributes)
	replaced := make(map[string]bool)
	for _, b := range over.Blocks {
		if repeatable[b.Type] && !replaced[b.Type] {
			replaced[b.Type] = true
			base.Blocks = slices.DeleteFunc(base.Blocks, func(o *hclsyntax.Block) bool { return o.Type == b.Type })
		}
		i := slices.IndexFunc(base.Blocks, func(o *hclsyntax.Block) bool { return o.Type == b.Type && slices.Equal(o.Labels, b.Labels) })
		if repeatable[b.Type] || i < 0 {
			base.Blocks = append(base.Blocks, b)
		} else {
			mergeBody(base.Blocks[i].Body, b.Body)
		}
	}
}
