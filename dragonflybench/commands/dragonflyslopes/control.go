package dragonflyslopes

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"dragonflyrelay.example/dragonflycontrol/commands/dragonflycontrolserver"
	"dragonflyrelay.example/dragonflycontrol/queries/dragonflycontrolsettings"
	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflyworkspace"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// controls is the number of control instances of a measurement.
const controls = 3

// WorkspaceKey is the bearer key of the workspace that configure creates.
const WorkspaceKey = "measurement-workspace"

// Timeout of configure, which waits for a leader, and the time between its attempts.
const (
	configureTimeout = 20 * time.Second
	configurePeriod  = 100 * time.Millisecond
)

func controlName(i int) string { return fmt.Sprintf("control-%d", i) }

func control() *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "run one of three control instances",
		Flags: append(partFlags(),
			&cli.IntFlag{Name: "first", Usage: "number of the instance, 0 to 2"},
			&cli.StringFlag{Name: "data", Usage: "folder for the data of all instances", Required: true}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			first, data := cmd.Int("first"), cmd.String("data")
			if first < 0 || first >= controls {
				return errors.New("first must be 0 to 2")
			}
			p, err := newPart(cmd, "control", func(ctx context.Context, i int) error { return serveControl(ctx, first+i, data) })
			if err != nil {
				return err
			}
			return p.Run(ctx)
		},
	}
}

func serveControl(ctx context.Context, i int, data string) (err error) {
	folder := filepath.Join(data, controlName(i))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	key := filepath.Join(folder, "internal-key")
	if err := os.WriteFile(key, []byte(internalKey), 0o600); err != nil {
		return err
	}
	members := map[string]string{}
	for k := range controls {
		members[controlName(k)] = loopback(controlPort, k)
	}
	s := &dragonflycontrolserver.Server{Settings: dragonflycontrolsettings.Settings{
		Instance: controlName(i), Members: members, Listen: loopback(controlPort, i),
		DebugListen: "127.0.0.1:0", DataFolder: filepath.Join(folder, "log"), KeyFile: key,
	}}
	return s.Run(ctx)
}

func configure() *cli.Command {
	return &cli.Command{
		Name:  "configure",
		Usage: "set the configuration of a measurement as soon as control has a leader",
		Flags: []cli.Flag{&cli.IntFlag{Name: "group-size", Value: groupSize}},
		Action: func(ctx context.Context, cmd *cli.Command) (err error) {
			defer func() { err = errors.WithMessage(err, "configure") }()
			ctx, cancel := context.WithTimeout(ctx, configureTimeout)
			defer cancel()
			hash := sha256.Sum256([]byte(WorkspaceKey))
			var version uint64
			for i, ch := range []dragonflychange.Change{
				{Kind: dragonflychange.SetGroupSize, GroupSize: cmd.Int("group-size")},
				{Kind: dragonflychange.SetClass, Class: dragonflyclass.Class{}.WithName("live").WithAnswered(950).WithComplete(1000).
					WithFirstToken(410 * dragonflyduration.Millisecond).WithGap(25 * dragonflyduration.Millisecond)},
				{Kind: dragonflychange.SetWorkspace, Workspace: dragonflyworkspace.Workspace{}.WithName("measurement").
					WithKeyHash(hex.EncodeToString(hash[:])).WithClass("live")},
			} {
				ch.ID = fmt.Sprintf("measurement-%d-%d", time.Now().UnixNano(), i)
				ch.Operator, ch.At, ch.Base = "measurement", time.Now().UnixNano(), version
				if version, err = propose(ctx, ch); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// propose sends ch to the control instances in turn until it is accepted. The id of
// the change makes it idempotent, so that retries are safe.
func propose(ctx context.Context, ch dragonflychange.Change) (version uint64, err error) {
	raw, err := dragonflycodec.MarshalChange(ch)
	if err != nil {
		return 0, err
	}
	t := time.NewTicker(configurePeriod)
	defer t.Stop()
	for i := 0; ; i++ {
		c := dragonflyrpcclient.Client{Addr: loopback(controlPort, i%controls), Key: func() string { return internalKey }}
		answer, err := c.Call(ctx, "/dragonfly.control/Propose", raw)
		c.Close()
		if err == nil {
			res, err := dragonflycodec.UnmarshalResult(answer)
			switch {
			case err != nil:
				return 0, err
			case res.Outcome == dragonflyresult.Accepted:
				return res.Version, nil
			case res.Outcome != dragonflyresult.NotRun && res.Outcome != dragonflyresult.Unavailable:
				return 0, errors.Errorf("control rejected the change: %s", res.Message)
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}
