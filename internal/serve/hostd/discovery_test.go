package hostd

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/plat/disco"
)

// A long list is read less often, so that it does not exceed the bandwidth for
// control traffic. After a failed read the configured period applies.
func TestLongListIsReadLessOften(t *testing.T) {
	c := qt.New(t)
	size := 0
	var failure error
	d := &discovery{period: 2 * clock.Second, log: logs.Discard(), source: disco.List{Read: func(context.Context) ([]disco.Entry, error) {
		return make([]disco.Entry, size), failure
	}}}
	for _, test := range []struct {
		size    int
		failure error
		wait    clock.Millis
	}{
		{0, nil, 2_000},
		{80, nil, 2_000},
		{81, nil, 2_025},
		{1_020, nil, 25_500},
		{1_020, disco.ErrUnavailable, 2_000},
		{1_020, nil, 25_500},
	} {
		size, failure = test.size, test.failure
		d.refresh(context.Background())
		c.Check(d.readInterval(), qt.Equals, test.wait, qt.Commentf("%+v", test))
	}
}
