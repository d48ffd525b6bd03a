package cfapp

import (
	"context"
	"runtime/debug"

	"cranberryford/internal/cfjobagent"
	"cranberryford/internal/cfjobentry"
	"cranberryford/pkg/cfconfig"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfnet"
	"cranberryford/platform"
)

// heapPercent is the share of an entry's memory limit from which the runtime collects garbage
// more often.
const heapPercent = 80

// NewJobEntry returns an entry that serves jobs on the users' platform. The entry
// already listens on its addresses.
func NewJobEntry(ctx context.Context, d Deps, cfg cfconfig.JobEntry) (*Role, error) {
	common, metrics, closeCommon, err := NewCommon(d, "job-entry", cfg.Name, cfg.LogLevel)
	if err != nil {
		return nil, err
	}
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * heapPercent / 100)
	store, closeStore := platform.NewStore(cfg.Store, cfnet.Transport(cfg.Inner.Addr()), cfg.StoreTimeout.Call)
	advisor, closeAdvisor := newAdvisor(cfg)
	e, closeEntry, err := cfjobentry.New(ctx, common, cfg, cfjobentry.Deps{
		Store: store, Advisor: advisor, DecodeConfig: platform.DecodeConfig, ConfigKey: platform.ConfigKey,
		JobsHandler: platform.JobsHandler, ReadinessHandler: platform.ReadinessHandler, Metrics: metrics,
	})
	if err != nil {
		closeAdvisor()
		closeStore()
		closeCommon()
		return nil, cferror.Wrap("create job entry", KindStart, err)
	}
	return &Role{run: e.Run, startShutdown: e.Leave, log: common.Log, cleanup: func() { closeEntry(); closeAdvisor(); closeStore(); closeCommon() }}, nil
}

// newAdvisor returns the client of the policy service, or nil if the settings have no
// address for that service. The returned function closes the client.
func newAdvisor(cfg cfconfig.JobEntry) (cfcore.Advisor, func()) {
	if !cfg.Advice.IsValid() {
		return nil, func() {}
	}
	return platform.NewAdvisor(cfg.Advice, cfnet.Transport(cfg.Inner.Addr()), cfg.StoreTimeout.Call)
}

// NewJobAgent returns an agent that runs the tasks of jobs on the users' platform. The
// agent already listens on its addresses.
func NewJobAgent(ctx context.Context, d Deps, cfg cfconfig.JobAgent) (*Role, error) {
	common, metrics, closeCommon, err := NewCommon(d, "job-agent", cfg.Name, cfg.LogLevel)
	if err != nil {
		return nil, err
	}
	worker, closeWorker := platform.NewWorker(cfg.Worker, cfnet.Transport(cfg.Heartbeats.Addr()), cfg.OrderTimeout)
	a, closeAgent, err := cfjobagent.New(ctx, common, cfg, cfjobagent.Deps{
		Executor: worker, HeartbeatHandler: platform.HeartbeatHandler, Metrics: metrics,
	})
	if err != nil {
		closeWorker()
		closeCommon()
		return nil, cferror.Wrap("create job agent", KindStart, err)
	}
	return &Role{
		run: a.Run, startShutdown: a.Leave, log: common.Log, cleanup: func() { closeAgent(); closeWorker(); closeCommon() },
		reload: func(cfg any) {
			if cfg, ok := cfg.(cfconfig.JobAgent); ok {
				a.SetEntries(ctx, cfg.Entries)
			}
		},
	}, nil
}
