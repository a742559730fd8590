package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kong"
)

// completion prints what a shell has to run to complete the program's command lines. The program completes when it finds
// COMP_LINE set, as bash and zsh do.
type completion struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"One of bash, zsh, fish."`
}

var completions = map[string]string{
	"bash": "complete -C 'BIN' NAME\n",
	"zsh":  "autoload -U +X bashcompinit && bashcompinit\ncomplete -C 'BIN' NAME\n",
	"fish": "complete -c NAME -a '(COMP_LINE=(commandline -cp) \"BIN\")'\n",
}

func (s completion) Run(c *Console, k *kong.Kong) error {
	exe, err := os.Executable()
	if err == nil {
		exe, err = filepath.Abs(exe)
	}
	if err != nil {
		return err
	}
	if strings.ContainsAny(exe, "'\"\\$`") {
		return fmt.Errorf("the program's path %q can't be put between quotes", exe)
	}
	_, err = fmt.Fprint(c.Out, strings.NewReplacer("BIN", exe, "NAME", k.Model.Name).Replace(completions[s.Shell]))
	return err
}
