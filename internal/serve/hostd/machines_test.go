package hostd

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/plat/disco"
)

// A long list is read less often, and one that could not be read as often as
// the settings say.
func TestLongListIsReadLessOften(t *testing.T) {
	c := qt.New(t)
	size := 0
	var failure error
	m := &machines{period: 2 * clock.Second, log: logs.Discard(), read: disco.List{Read: func(context.Context) ([]disco.Entry, error) {
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
		m.refresh(context.Background())
		c.Check(m.wait(), qt.Equals, test.wait, qt.Commentf("%+v", test))
	}
}
