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
	{"POST", "/", (*Cloud).serveTable},
}

func (c *Cloud) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	front.Spoil(ctx, c.Faults().BreakAnswers)
	for _, r := range routes {
		if r.path == path && r.method == string(ctx.Method()) {
			r.handle(c, ctx)
			return
		}
	}
	c.serveObject(ctx)
}

func reply(ctx *fasthttp.RequestCtx, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	front.WriteJSON(ctx, status, text)
}

// beforeCall applies the faults that precede a table or object call. It returns
// false if the call is already answered or dropped.
func (c *Cloud) beforeCall(ctx *fasthttp.RequestCtx, write bool, writeThrottled func()) bool {
	f := c.Faults()
	if f.SlowMilliseconds > 0 {
		<-c.Clock.After(f.SlowMilliseconds)
	}
	if f.Down || (write && c.consumeLoss(&c.faults.LoseRequestsBeforeWrite)) {
		c.count(func(n *Counts) { n.Refused++ })
		front.ConnOf(ctx).Reset()
		return false
	}
	if f.Throttle {
		c.count(func(n *Counts) { n.Refused++ })
		writeThrottled()
		return false
	}
	return true
}

// afterWrite applies LoseAnswersAfterWrite after a write, also after one whose
// condition failed.
func (c *Cloud) afterWrite(ctx *fasthttp.RequestCtx) {
	if c.consumeLoss(&c.faults.LoseAnswersAfterWrite) {
		front.ConnOf(ctx).Reset()
	}
}

// consumeLoss reports whether to lose a call and counts down the remaining losses;
// a negative number loses every call.
func (c *Cloud) consumeLoss(remaining *int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if *remaining > 0 {
		*remaining--
		return true
	}
	return *remaining < 0
}

// count changes the totals under the lock.
func (c *Cloud) count(change func(n *Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counts)
}

func (c *Cloud) getHosts(ctx *fasthttp.RequestCtx) {
	c.count(func(n *Counts) { n.HostReads++ })
	if c.Faults().HostsDown {
		front.ConnOf(ctx).Reset()
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
