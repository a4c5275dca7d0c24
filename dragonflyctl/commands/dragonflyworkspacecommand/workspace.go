// Package dragonflyworkspacecommand provides the commands that set and remove
// workspaces.
package dragonflyworkspacecommand

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"strings"

	"dragonflyrelay.example/dragonflyctl/commands/dragonflychangecommand"
	"dragonflyrelay.example/dragonflyctl/common/dragonflyexit"
	"dragonflyrelay.example/dragonflyctl/common/dragonflysession"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflyworkspace"
	"github.com/urfave/cli/v3"
)

// Command returns the command "workspace".
func Command() *cli.Command {
	set := dragonflychangecommand.Command{
		Name: "set", Usage: "set a workspace; flags that are not given keep their value", ArgsUsage: "WORKSPACE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "key-file", Usage: "file with the bearer key; only the SHA-256 of the key is stored", TakesFile: true},
			&cli.StringFlag{Name: "key-hash", Usage: "SHA-256 of the bearer key in 64 hex digits"},
			&cli.StringFlag{Name: "class", Usage: "class of requests that name no class"},
			&cli.IntFlag{Name: "max-in-flight", Usage: "maximum number of concurrent requests per entry, 0 for unlimited"},
		},
		Build: buildSet,
	}
	remove := dragonflychangecommand.Command{Name: "remove", Usage: "remove a workspace", ArgsUsage: "WORKSPACE", Build: buildRemove}
	return &cli.Command{Name: "workspace", Usage: "set the workspaces of customers", Commands: []*cli.Command{set.CLI(), remove.CLI()}}
}

func buildSet(cmd *cli.Command, c dragonflyconfig.Config) (ch dragonflychange.Change, err error) {
	args, err := dragonflysession.Args(cmd, "WORKSPACE")
	if err != nil {
		return ch, err
	}
	w, _ := c.Workspaces().Get(args[0])
	w = w.WithName(args[0])
	hash, err := keyHash(cmd)
	if err != nil {
		return ch, err
	}
	if hash != "" {
		w = w.WithKeyHash(hash)
	}
	if cmd.IsSet("class") {
		w = w.WithClass(cmd.String("class"))
	}
	if cmd.IsSet("max-in-flight") {
		if cmd.Int("max-in-flight") < 0 {
			return ch, dragonflyexit.Errorf(dragonflyexit.Usage, "--max-in-flight must not be negative")
		}
		w = w.WithMaxInFlight(cmd.Int("max-in-flight"))
	}
	return dragonflychange.Change{Kind: dragonflychange.SetWorkspace, Workspace: w}, nil
}

// keyHash returns the SHA-256 in hex digits of the key that the flags name, "" if
// they name none. The key itself is never an argument, because other users of the
// machine can read command lines.
func keyHash(cmd *cli.Command) (string, error) {
	hash, path := strings.ToLower(cmd.String("key-hash")), cmd.String("key-file")
	if hash != "" && path != "" {
		return "", dragonflyexit.Errorf(dragonflyexit.Usage, "--key-hash and --key-file are mutually exclusive")
	}
	if path == "" {
		if raw, err := hex.DecodeString(hash); hash != "" && (err != nil || len(raw) != sha256.Size) {
			return "", dragonflyexit.Errorf(dragonflyexit.Usage, "--key-hash must have 64 hexadecimal digits")
		}
		return hash, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", dragonflyexit.Errorf(dragonflyexit.Usage, "--key-file: %v", err)
	}
	key := strings.TrimSpace(string(raw))
	if key == "" {
		return "", dragonflyexit.Errorf(dragonflyexit.Usage, "--key-file: %s is empty", path)
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:]), nil
}

func buildRemove(cmd *cli.Command, _ dragonflyconfig.Config) (ch dragonflychange.Change, err error) {
	args, err := dragonflysession.Args(cmd, "WORKSPACE")
	if err != nil {
		return ch, err
	}
	return dragonflychange.Change{Kind: dragonflychange.RemoveWorkspace, Workspace: dragonflyworkspace.Workspace{}.WithName(args[0])}, nil
}
