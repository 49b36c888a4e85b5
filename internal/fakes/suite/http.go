package suite

import (
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/fakes/front"
)

// part is one stand-in as the faults endpoint presents it.
type part struct {
	name    string
	kind    string
	address func() string
	faults  func() any
	patch   func(text []byte) error
}

// PartFaults is one part with its current faults, as written in JSON.
type PartFaults struct {
	Name    string
	Kind    string
	Address string
	Faults  any
}

// FaultList is the JSON response of GET /faults.
type FaultList struct {
	Parts []PartFaults
}

const faultsPath = "/faults"

func (p part) view() PartFaults {
	return PartFaults{Name: p.name, Kind: p.kind, Address: p.address(), Faults: p.faults()}
}

func (s *Suite) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	name, hasName := strings.CutPrefix(path, faultsPath+"/")
	switch {
	case hasName && ctx.IsPost():
		s.postFaults(ctx, name)
	case path == faultsPath && ctx.IsGet():
		s.getFaults(ctx)
	case path == "/runs" && ctx.IsGet():
		s.getRuns(ctx)
	default:
		ctx.Error(
			"no such path: GET /faults, POST /faults/NAME and GET /runs exist", fasthttp.StatusNotFound,
		)
	}
}

func (s *Suite) getFaults(ctx *fasthttp.RequestCtx) {
	var list FaultList
	for _, p := range s.parts {
		list.Parts = append(list.Parts, p.view())
	}
	reply(ctx, list)
}

func (s *Suite) postFaults(ctx *fasthttp.RequestCtx, name string) {
	for _, p := range s.parts {
		if p.name != name {
			continue
		}
		if err := p.patch(ctx.PostBody()); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		reply(ctx, p.view())
		return
	}
	ctx.Error("part "+name+" does not exist", fasthttp.StatusNotFound)
}

func (s *Suite) getRuns(ctx *fasthttp.RequestCtx) {
	runs := map[string]map[string]int{}
	for service := range s.bookingStores {
		runs[service] = s.Runs(service)
	}
	reply(ctx, runs)
}

func reply(ctx *fasthttp.RequestCtx, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	front.WriteJSON(ctx, fasthttp.StatusOK, text)
}
