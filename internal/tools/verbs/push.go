package verbs

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/user"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/share/accept"
	"siskinsaddle/internal/share/mfest"
)

const (
	// inForcePoll is the interval between reads of the domains' reports, and
	// inForceWait the time after which --wait gives up, both in milliseconds.
	inForcePoll = 250 * clock.Millis(1)
	inForceWait = 15 * clock.Second
	// noBase is the default of --base: the file's Base applies.
	noBase = -1
)

type pushFlags struct {
	base        int64
	by          string
	leaveBehind []string
	wait        bool
}

func (v *manifestVerbs) push() *cobra.Command {
	var f pushFlags
	c := &cobra.Command{
		Use:   "push FILE",
		Short: "Brings a manifest into force in every failure domain, or in none",
		Long: `Brings a manifest into force in every failure domain, or in none. It talks to
the platform alone and reports one of:

  Accepted     the generation is accepted and is never reverted
  NotAccepted  it is not accepted and will not be; the reason and the
               differences from the generation in force follow
  Unknown      the platform became unreachable after the push had begun; push
               the same file again, which is idempotent and reports the outcome

A file whose content is in force already is Accepted without a new generation.
With --wait the verb shows each failure domain as its hosts report that they
serve under the generation. The reports go through the platform, so a domain
that is partitioned from it shows as not reported.

--leave-behind accepts without the named failure domains. Their hosts keep their
previous manifest until they reach the platform or another domain again.`,
		Example: `  siskinsaddle manifest push --settings host.hujson --wait market.hujson
  siskinsaddle manifest push --settings host.hujson --base 41 market.hujson
  siskinsaddle manifest push --settings host.hujson --leave-behind prairie-c market.hujson`,
		Args: oneFile,
		RunE: func(c *cobra.Command, args []string) error { return v.runPush(c, args[0], f) },
	}
	c.Flags().Int64Var(&f.base, "base", noBase, "generation that the file was built on, instead of the file's Base")
	c.Flags().StringVar(&f.by, "by", "", "name for the history; the user's name without it")
	c.Flags().StringSliceVar(&f.leaveBehind, "leave-behind", nil, "failure domains that need not confirm")
	c.Flags().BoolVar(&f.wait, "wait", false, "show each failure domain as the manifest comes in force")
	return c
}

func (v *manifestVerbs) runPush(c *cobra.Command, file string, f pushFlags) error {
	m, err := readManifest(file)
	if err != nil {
		return err
	}
	if f.base != noBase {
		m.Base = f.base
	}
	if err := checkLeaveBehind(m, f.leaveBehind); err != nil {
		return err
	}
	p, err := v.open()
	if err != nil {
		return err
	}
	ctx, stop := signalContext(c)
	defer stop()
	pusher := &accept.Pusher{
		Platform: p.Platform, Registrations: p.registrations, LeaveBehind: f.leaveBehind,
		Log: logs.New(c.ErrOrStderr(), logs.LevelInfo).WithPrefix("push"), By: userName(f.by),
	}
	answer := pusher.Push(ctx, m)
	if err := v.printAnswer(c.OutOrStdout(), answer); err != nil {
		return err
	}
	if answer.Outcome != accept.Accepted {
		return errors.Newf("%s: %s", answer.Outcome, answer.Reason)
	}
	if !f.wait {
		return nil
	}
	return p.waitInForce(ctx, c.OutOrStdout(), m, answer.Generation, f.leaveBehind)
}

func checkLeaveBehind(m mfest.Manifest, names []string) error {
	for _, name := range names {
		if !slices.ContainsFunc(m.FailureDomains, func(d mfest.FailureDomain) bool { return d.Name == name }) {
			return usageError(errors.Newf("failure domain %q does not exist in the manifest", name))
		}
	}
	return nil
}

func userName(given string) string {
	if given != "" {
		return given
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return fmt.Sprintf("user %d", os.Getuid())
}

func (v *manifestVerbs) printAnswer(w io.Writer, a accept.Answer) error {
	if v.json {
		return printJSON(w, a)
	}
	text := fmt.Sprintf("%s: %s\n", a.Outcome, a.Text)
	if len(a.Diff) > 0 {
		text += fmt.Sprintf("changes from generation %d to the file:\n%s", a.Winner, mfest.FormatDiff(a.Diff, maxShownChanges))
	}
	_, err := io.WriteString(w, text)
	return err
}

// waitInForce prints each failure domain once it reports the generation in force.
// It fails if domains are still missing after inForceWait.
func (p platformClient) waitInForce(ctx context.Context, w io.Writer, m mfest.Manifest, number int64, leftBehind []string) error {
	began := p.Clock.Now()
	var pending []string
	for _, d := range m.FailureDomains {
		if !slices.Contains(leftBehind, d.Name) {
			pending = append(pending, d.Name)
		}
	}
	for {
		pending = slices.DeleteFunc(pending, func(domain string) bool {
			line, done := p.inForceLine(ctx, domain, number, p.Clock.Now()-began)
			if done {
				_, _ = io.WriteString(w, line)
			}
			return done
		})
		if len(pending) == 0 {
			return nil
		}
		if ctx.Err() != nil || p.Clock.Now()-began > inForceWait {
			return errors.Newf("generation %d is accepted but not yet reported in force by %v", number, pending)
		}
		<-p.Clock.After(inForcePoll)
	}
}

// inForceLine reports whether a domain has reported the generation in force or has
// no registered host, and returns the line to print for it.
func (p platformClient) inForceLine(ctx context.Context, domain string, number int64, after clock.Millis) (string, bool) {
	f, err := p.ReadInForce(ctx, domain)
	if err != nil {
		return "", false
	}
	if f.Generation >= number {
		return fmt.Sprintf("%s: in force on %d hosts after %d ms%s\n", domain, f.Hosts, after, unresponsiveHosts(f.Silent)), true
	}
	names, err := p.registrations(ctx, domain)
	if err != nil || len(names) > 0 {
		return "", false
	}
	return domain + ": no host is registered\n", true
}
