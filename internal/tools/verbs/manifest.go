package verbs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/config"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/plat/amazon"
	"siskinsaddle/internal/share/accept"
	"siskinsaddle/internal/share/hosts"
	"siskinsaddle/internal/share/mfest"
)

// maxShownChanges is the maximum number of changes printed with the result of a push.
const maxShownChanges = 40

// platformClient is the manifest verbs' access to the platform. It holds the
// manifest record, the manifest bodies and the reports of the failure domains, so
// the verbs need no running host.
type platformClient struct {
	accept.Platform
	registrations func(ctx context.Context, domain string) ([]string, error)
}

// manifestVerbs holds the flags of the verbs under "manifest". Tests may replace
// connect.
type manifestVerbs struct {
	connect  func(s config.Settings) platformClient
	settings string
	json     bool
}

// NewManifest returns the manifest verb with its subcommands.
func NewManifest() *cobra.Command {
	return (&manifestVerbs{connect: connectPlatform}).command()
}

func (v *manifestVerbs) command() *cobra.Command {
	c := group("manifest", "Checks, pushes and shows the manifest",
		`  siskinsaddle manifest check market.hujson
  siskinsaddle manifest push --settings host.hujson --wait market.hujson
  siskinsaddle manifest show --settings host.hujson
  siskinsaddle manifest history --settings host.hujson
  siskinsaddle manifest diff --settings host.hujson current market.hujson`,
		v.check(), v.push(), v.show(), v.history(), v.diff())
	c.PersistentFlags().StringVar(&v.settings, "settings", "", "file with the settings of the platform; defaults without it")
	c.PersistentFlags().BoolVar(&v.json, "json", false, "print JSON for programs")
	return c
}

func connectPlatform(s config.Settings) platformClient {
	platform := platformSettings(s)
	t := amazon.NewTable(platform)
	members := &hosts.Node{Table: t, Log: logs.New(os.Stderr, s.LogLevel).WithPrefix("hosts")}
	return platformClient{
		Platform: accept.Platform{Table: t, Objects: amazon.NewObjects(platform), Clock: clock.System()},
		registrations: func(ctx context.Context, domain string) ([]string, error) {
			found, err := members.Registrations(ctx, domain)
			names := make([]string, 0, len(found))
			for _, h := range found {
				names = append(names, h.Name)
			}
			return names, err
		},
	}
}

// open reads the settings and connects to the platform that they configure.
func (v *manifestVerbs) open() (platformClient, error) {
	s, err := readSettings(v.settings)
	if err != nil {
		return platformClient{}, err
	}
	return v.connect(s), nil
}

func readManifest(file string) (mfest.Manifest, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return mfest.Manifest{}, errors.Wrap(err, "manifest")
	}
	m, list := mfest.Parse(file, text)
	return m, list.Err()
}

func printJSON(w io.Writer, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", text)
	return err
}

func (v *manifestVerbs) check() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Reports every finding in a manifest with path, line and column",
		Example: `  siskinsaddle manifest check market.hujson
  market.hujson:12:15: Classes[0].Tier: tier 0 is not within 1 to 9`,
		Args: oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			m, err := readManifest(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s: no findings; %d failure domains, %d services, %d classes, %d workspaces\n",
				args[0], len(m.FailureDomains), len(m.Services), len(m.Classes), len(m.Workspaces))
			return err
		},
	}
}

func (v *manifestVerbs) show() *cobra.Command {
	var body bool
	c := &cobra.Command{
		Use:   "show [GENERATION]",
		Short: "Shows which generation is in force in which failure domain",
		Long: `Shows the generation in force, a push in progress, and the last report of each
failure domain. With --body it prints the manifest itself, as a file with the
Base that a push of a changed copy needs.`,
		Example: `  siskinsaddle manifest show --settings host.hujson
  siskinsaddle manifest show --settings host.hujson --body > market.hujson
  siskinsaddle manifest show --settings host.hujson --body 41`,
		Args: func(c *cobra.Command, args []string) error { return usageError(cobra.MaximumNArgs(1)(c, args)) },
		RunE: func(c *cobra.Command, args []string) error {
			p, err := v.open()
			if err != nil {
				return err
			}
			if body || len(args) > 0 {
				return showBody(c, p, args)
			}
			return v.showState(c, p)
		},
	}
	c.Flags().BoolVar(&body, "body", false, "print the manifest")
	return c
}

func showBody(c *cobra.Command, p platformClient, args []string) error {
	which := currentName
	if len(args) > 0 {
		which = args[0]
	}
	m, err := p.generation(c.Context(), which)
	if err != nil {
		return err
	}
	r, err := p.Read(c.Context())
	if err != nil {
		return err
	}
	text, err := mfest.Format(m, r.InForce().Number)
	if err != nil {
		return err
	}
	_, err = c.OutOrStdout().Write(text)
	return err
}

// shownState is the output of `manifest show --json`.
type shownState struct {
	Record  accept.Record
	Domains []accept.InForce
}

func (v *manifestVerbs) showState(c *cobra.Command, p platformClient) error {
	r, err := p.Read(c.Context())
	if err != nil {
		return err
	}
	m, err := p.Manifest(c.Context(), r.InForce())
	if err != nil {
		return err
	}
	s := shownState{Record: r}
	for _, d := range m.FailureDomains {
		f, err := p.ReadInForce(c.Context(), d.Name)
		if err != nil {
			return err
		}
		s.Domains = append(s.Domains, f)
	}
	if v.json {
		return printJSON(c.OutOrStdout(), s)
	}
	_, err = io.WriteString(c.OutOrStdout(), s.String())
	return err
}

// String returns a line for the generation in force, one for the last push and one
// for each failure domain.
func (s shownState) String() string {
	r := s.Record
	text := fmt.Sprintf("in force: generation %d\n", r.InForce().Number)
	if r.Number > 0 {
		text += "last push: " + recordLine(r)
	}
	for _, f := range s.Domains {
		text += fmt.Sprintf("%s: generation %d on %d hosts since %s%s\n", f.Domain, f.Generation, f.Hosts, wallTime(f.At), unresponsiveHosts(f.Silent))
	}
	return text
}

func unresponsiveHosts(names []string) string {
	if len(names) == 0 {
		return ""
	}
	return fmt.Sprintf(", unresponsive: %v", names)
}

func wallTime(at clock.Millis) string {
	return time.UnixMilli(int64(at)).UTC().Format(time.RFC3339)
}

func recordLine(r accept.Record) string {
	line := fmt.Sprintf("generation %d %s, %s by %s, hash %.12s", r.Number, r.State, wallTime(r.At), r.By, r.Body.Hash)
	switch {
	case r.State == accept.StateStaging:
		line += fmt.Sprintf(", waits for %v", r.Unconfirmed())
	case r.Reason != "":
		line += ": " + r.Reason
	case len(r.LeftBehind) > 0:
		line += fmt.Sprintf(", left behind: %v", r.LeftBehind)
	}
	return line + "\n"
}

func (v *manifestVerbs) history() *cobra.Command {
	return &cobra.Command{
		Use:     "history",
		Short:   "Lists the last generations, the latest last",
		Example: `  siskinsaddle manifest history --settings host.hujson`,
		Args:    noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p, err := v.open()
			if err != nil {
				return err
			}
			records, err := p.History(c.Context())
			if err != nil {
				return err
			}
			if v.json {
				return printJSON(c.OutOrStdout(), records)
			}
			for _, r := range records {
				if _, err := io.WriteString(c.OutOrStdout(), recordLine(r)); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// currentName denotes the generation in force on the command line.
const currentName = "current"

// generation reads the manifest of a generation, given by number or currentName.
func (p platformClient) generation(ctx context.Context, which string) (mfest.Manifest, error) {
	if which == currentName {
		r, err := p.Read(ctx)
		if err != nil {
			return mfest.Manifest{}, err
		}
		return p.Manifest(ctx, r.InForce())
	}
	number, err := strconv.ParseInt(which, 10, 64)
	if err != nil {
		return mfest.Manifest{}, usageError(errors.Newf("generation %q is neither a number nor %q", which, currentName))
	}
	records, err := p.History(ctx)
	if err != nil {
		return mfest.Manifest{}, err
	}
	for _, r := range records {
		if r.Number == number {
			return p.Manifest(ctx, r.Generation)
		}
	}
	return mfest.Manifest{}, errors.Newf("generation %d is not in the history", number)
}

func (v *manifestVerbs) diff() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FROM TO",
		Short: "Lists the differences between two manifests",
		Long: `Lists the differences between two manifests. Each is a file, the number of a
generation, or "current" for the one in force.`,
		Example: `  siskinsaddle manifest diff old.hujson new.hujson
  siskinsaddle manifest diff --settings host.hujson current market.hujson
  siskinsaddle manifest diff --settings host.hujson 41 42`,
		Args: func(c *cobra.Command, args []string) error { return usageError(cobra.ExactArgs(2)(c, args)) },
		RunE: func(c *cobra.Command, args []string) error {
			var manifests [2]mfest.Manifest
			for i, name := range args {
				m, err := v.resolve(c.Context(), name)
				if err != nil {
					return err
				}
				manifests[i] = m
			}
			changes := mfest.Diff(manifests[0], manifests[1])
			if v.json {
				return printJSON(c.OutOrStdout(), changes)
			}
			_, err := io.WriteString(c.OutOrStdout(), mfest.FormatDiff(changes, len(changes)))
			return err
		},
	}
}

// resolve reads the manifest that a command line argument denotes: a generation
// number, currentName or a file name.
func (v *manifestVerbs) resolve(ctx context.Context, name string) (mfest.Manifest, error) {
	if _, err := strconv.ParseInt(name, 10, 64); err != nil && name != currentName {
		return readManifest(name)
	}
	p, err := v.open()
	if err != nil {
		return mfest.Manifest{}, err
	}
	return p.generation(ctx, name)
}

// signalContext returns the verb's context, cancelled on an interrupt or SIGTERM.
func signalContext(c *cobra.Command) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
}
