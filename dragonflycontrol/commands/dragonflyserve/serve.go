// Package dragonflyserve provides the subcommand that runs a control instance.
package dragonflyserve

import (
	"context"
	"net"

	"dragonflyrelay.example/dragonflycontrol/commands/dragonflycontrolserver"
	"dragonflyrelay.example/dragonflycontrol/queries/dragonflycontrolsettings"
	"dragonflyrelay.example/library/common/dragonflyoperations"
	"dragonflyrelay.example/library/common/dragonflysettingscommand"
	"dragonflyrelay.example/platform/dragonflycontrolapi"
	"dragonflyrelay.example/platform/dragonflydocumentjson"
	"github.com/urfave/cli/v3"
)

// maxDocumentBytes bounds the size of a routing document.
const maxDocumentBytes = 4 << 20

// Command returns the subcommand. It shuts down gracefully when its context ends.
func Command() *cli.Command {
	var groupStall, heartbeat, zone string
	cmd := dragonflysettingscommand.Command[dragonflycontrolsettings.Settings]{
		Name:  "serve",
		Usage: "serves until SIGTERM, then finishes the requests in progress",
		Load: func(path string) (s dragonflycontrolsettings.Settings, err error) {
			if s, err = dragonflycontrolsettings.Load(path); err != nil {
				return s, err
			}
			if s, err = s.WithZone(zone).WithGroupStall(groupStall); err != nil {
				return s, err
			}
			return s.WithHeartbeatInterval(heartbeat)
		},
		Run: func(ctx context.Context, s dragonflycontrolsettings.Settings) error {
			return (&dragonflycontrolserver.Server{
				Settings: s,
				Decode:   dragonflydocumentjson.Unmarshal,
				Operator: func(ctx context.Context, l net.Listener, ops dragonflyoperations.Operations) error {
					return dragonflycontrolapi.Serve(ctx, l, ops, maxDocumentBytes)
				},
			}).Run(ctx)
		},
	}.CLI()
	cmd.Flags = append(cmd.Flags, &cli.StringFlag{
		Name: "group-stall-ms", Usage: "replaces the setting of this name unless it is empty", Destination: &groupStall,
	}, &cli.StringFlag{
		Name: "heartbeat-ms", Usage: "replaces the setting of this name unless it is empty", Destination: &heartbeat,
	}, &cli.StringFlag{
		Name: "zone", Usage: "replaces the setting of this name unless it is empty", Destination: &zone,
	})
	return cmd
}
