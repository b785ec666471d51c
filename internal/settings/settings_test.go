package settings

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

type Shared struct {
	Platform string `env:"TEST_PLATFORM" envDefault:"default" flag:"platform" help:"URL."`
}

type example struct {
	Shared
	Listen string        `env:"TEST_LISTEN" envDefault:"127.0.0.1:1" flag:"listen" help:"Address."`
	Name   string        `env:"TEST_NAME" flag:"name" help:"Name."`
	Wait   time.Duration `env:"TEST_WAIT" envDefault:"1s" flag:"wait" help:"Time."`
}

func (e *example) Validate() []error {
	return NonNilErrors(CheckAddress("listen", e.Listen), CheckNotEmpty("name", e.Name))
}

// Guards against a wrong precedence of flags, environment and defaults, and against
// an error that names only the first invalid setting.
func TestParse(t *testing.T) {
	for name, c := range map[string]struct {
		env  map[string]string
		args []string
		want example
		errs []string
	}{
		"defaults":                      {args: []string{"--name", "x"}, want: example{Shared{"default"}, "127.0.0.1:1", "x", time.Second}},
		"environment overrides default": {env: map[string]string{"TEST_WAIT": "2s", "TEST_PLATFORM": "env"}, args: []string{"--name=x"}, want: example{Shared{"env"}, "127.0.0.1:1", "x", 2 * time.Second}},
		"flag overrides environment":    {env: map[string]string{"TEST_WAIT": "2s", "TEST_NAME": "e"}, args: []string{"--wait", "3s", "--name", "x"}, want: example{Shared{"default"}, "127.0.0.1:1", "x", 3 * time.Second}},
		"all errors at once":            {args: []string{"--listen", "localhost:80"}, errs: []string{"--listen must be an IP address", "--name is required"}},
		"invalid environment":           {env: map[string]string{"TEST_WAIT": "soon"}, errs: []string{"Wait"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for k, v := range c.env {
				t.Setenv(k, v)
			}
			var got example
			err := Parse(Program{Name: "test"}, &got, c.args)
			if len(c.errs) == 0 {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(got).To(Equal(c.want))
				return
			}
			for _, e := range c.errs {
				g.Expect(err).To(MatchError(ContainSubstring(e)))
			}
		})
	}
}

// Guards against a subcommand that runs with the settings of another one.
func TestParseCommand(t *testing.T) {
	g := NewWithT(t)
	var a, b example
	commands := []Command{{Name: "first", Settings: &a}, {Name: "second", Settings: &b}}
	cmd, err := parseCommand(Program{Name: "test"}, commands, []string{"second", "--name", "x", "--platform", "p"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cmd.Name).To(Equal("second"))
	g.Expect(b.Name).To(Equal("x"))
	g.Expect(b.Platform).To(Equal("p"))
	g.Expect(a.Name).To(BeEmpty())
	_, err = parseCommand(Program{Name: "test"}, commands, nil)
	g.Expect(err).To(MatchError(ContainSubstring("a command is required")))
}
