package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kong"
)

// completion is the command that prints the shell commands that enable completion of the program's command line. The program
// prints completions if COMP_LINE is set in its environment, as bash and zsh do.
type completion struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"One of bash, zsh, fish."`
}

// completions holds the shell commands by shell. BIN stands for the path of the program, NAME for its name.
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
