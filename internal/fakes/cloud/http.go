package cloud

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/fakes/front"
	"siskinsaddle/internal/plat/disco"
)

type route struct {
	method string
	path   string
	handle func(c *Cloud, ctx *fasthttp.RequestCtx)
}

var routes = []route{
	{"GET", "/hosts", (*Cloud).getHosts},
	{"PUT", "/hosts", (*Cloud).putHost},
	{"DELETE", "/hosts", (*Cloud).deleteHost},
	{"GET", "/counts", (*Cloud).getCounts},
	{"GET", "/faults", (*Cloud).getFaults},
	{"POST", "/faults", (*Cloud).postFaults},
	{"POST", "/", (*Cloud).table},
}

func (c *Cloud) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	for _, r := range routes {
		if r.path == path && r.method == string(ctx.Method()) {
			r.handle(c, ctx)
			return
		}
	}
	c.object(ctx)
}

func reply(ctx *fasthttp.RequestCtx, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	front.WriteJSON(ctx, status, text)
}

// enter carries out the faults that come before a call. It returns false where
// the call has already been answered or dropped.
func (c *Cloud) enter(ctx *fasthttp.RequestCtx, write bool, throttled func()) bool {
	f := c.Faults()
	if f.SlowMilliseconds > 0 {
		<-c.Clock.After(f.SlowMilliseconds)
	}
	if f.Down || (write && c.takeLoss(&c.faults.LoseRequestsBeforeWrite)) {
		c.count(func(n *Counts) { n.Refused++ })
		front.Of(ctx).Reset()
		return false
	}
	if f.Throttle {
		c.count(func(n *Counts) { n.Refused++ })
		throttled()
		return false
	}
	return true
}

// leave carries out the faults that come after a write took effect.
func (c *Cloud) leave(ctx *fasthttp.RequestCtx) {
	if c.takeLoss(&c.faults.LoseAnswersAfterWrite) {
		front.Of(ctx).Reset()
	}
}

// takeLoss counts one loss down and tells whether there was one.
func (c *Cloud) takeLoss(left *int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if *left > 0 {
		*left--
		return true
	}
	return *left < 0
}

func (c *Cloud) count(change func(n *Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counts)
}

func (c *Cloud) getHosts(ctx *fasthttp.RequestCtx) {
	c.count(func(n *Counts) { n.HostReads++ })
	if c.Faults().HostsDown {
		front.Of(ctx).Reset()
		return
	}
	reply(ctx, fasthttp.StatusOK, c.Entries())
}

func (c *Cloud) putHost(ctx *fasthttp.RequestCtx) {
	var e disco.Entry
	if err := json.Unmarshal(ctx.PostBody(), &e); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	c.SetEntry(e)
	reply(ctx, fasthttp.StatusOK, e)
}

func (c *Cloud) deleteHost(ctx *fasthttp.RequestCtx) {
	c.RemoveEntry(string(ctx.QueryArgs().Peek("name")))
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (c *Cloud) getCounts(ctx *fasthttp.RequestCtx) { reply(ctx, fasthttp.StatusOK, c.Counts()) }

func (c *Cloud) getFaults(ctx *fasthttp.RequestCtx) { reply(ctx, fasthttp.StatusOK, c.Faults()) }

func (c *Cloud) postFaults(ctx *fasthttp.RequestCtx) {
	if err := c.PatchFaults(ctx.PostBody()); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	reply(ctx, fasthttp.StatusOK, c.Faults())
}
