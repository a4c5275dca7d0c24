package dragonflylocalsystem

import (
	"context"
	"fmt"
	"path/filepath"

	"dragonflyrelay.example/dragonflyagent/commands/dragonflyagentserver"
	"dragonflyrelay.example/dragonflyagent/values/dragonflyagentsettings"
	"dragonflyrelay.example/dragonflybench/commands/dragonflyengine"
	"dragonflyrelay.example/dragonflybench/commands/dragonflyplainservice"
	"dragonflyrelay.example/dragonflybench/values/dragonflyenginesettings"
	"dragonflyrelay.example/dragonflybench/values/dragonflyservicesettings"
)

// startInstances starts an agent and an upstream for each instance. All of them
// stop together, because an agent would treat an upstream that stops first as
// failed.
func (s *System) startInstances(ctx context.Context) error {
	run, stop := context.WithCancel(context.Background())
	s.stopAgents = stop
	for _, zone := range s.Settings.Zones {
		for i := range s.Settings.GroupsPerZone * s.Settings.GroupSize {
			name := zone + "-engine-" + ordinal(i)
			agent, err := s.startAgent(ctx, run, name, zone)
			if err != nil {
				return err
			}
			engine := &dragonflyengine.Engine{Settings: dragonflyenginesettings.Settings{
				Instance: name, Agent: agent, Region: "local", Zone: zone, Domain: zone + "-fabric",
				Model: s.Settings.Model, ChecksFencing: true, LoadTime: s.Settings.LoadTime,
			}}
			addr, err := engine.Listen()
			if err != nil {
				return err
			}
			s.engines = append(s.engines, addr)
			if err := s.run(run, &s.agentDone, engine.Run); err != nil {
				return err
			}
		}
	}
	if s.Settings.Service == "-" {
		return nil
	}
	zone := s.Settings.Zones[0]
	name := zone + "-" + s.Settings.Service + "-1"
	agent, err := s.startAgent(ctx, run, name, zone)
	if err != nil {
		return err
	}
	service := &dragonflyplainservice.PlainService{Settings: dragonflyservicesettings.Settings{
		Instance: name, Agent: agent, Region: "local", Zone: zone, Domain: zone + "-fabric",
		Service: s.Settings.Service, ColdLimit: 64,
	}}
	return s.run(run, &s.agentDone, service.Run)
}

// startAgent starts the agent of an instance and returns the address at which the
// agent accepts the announcements of its upstream.
func (s *System) startAgent(ctx, run context.Context, name, zone string) (announce string, err error) {
	agent := &dragonflyagentserver.Server{Settings: dragonflyagentsettings.Settings{
		Instance: name, Region: "local", Zone: zone, Domain: zone + "-fabric",
		Listen: "127.0.0.1:0", UpstreamListen: "127.0.0.1:0",
		Control: []string{s.control}, Key: internalKey,
		Timeline: filepath.Join(s.Settings.Folder, name+".timeline"),
	}}
	if err := s.run(run, &s.agentDone, agent.Run); err != nil {
		return "", err
	}
	bound, err := agent.Bound(ctx)
	return bound.UpstreamListen, err
}

func ordinal(i int) string { return fmt.Sprint(i + 1) }
