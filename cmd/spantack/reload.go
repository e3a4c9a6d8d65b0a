package main

import (
	"context"
	"sync/atomic"

	"spantack/internal/config"
	"spantack/internal/features"
	"spantack/internal/router"
)

// reloadCounters count the configuration files that were applied and rejected at SIGHUP.
type reloadCounters struct{ applied, rejected atomic.Int64 }

// handleReloads reloads the configuration and the features file at each SIGHUP, until ctx is canceled.
func (p *process) handleReloads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.signals.hangUp:
			p.reloadConfig()
			p.reloadFeatures()
		}
	}
}

// reloadConfig loads the configuration and applies it. An invalid configuration changes nothing. The address of the
// discovery service, the settings and the maximum send delay change in the running router. The limits on memory and
// descriptors, the seed, the zone and the other connection options change only at a restart.
func (p *process) reloadConfig() {
	old := p.config.Load()
	c, err := p.loadConfig()
	if err == nil {
		err = c.CheckReplaces(old)
	}
	if err == nil {
		err = p.router.UpdateSettings(c.Settings)
	}
	if err != nil {
		p.reloads.rejected.Add(1)
		p.log.Error().Err(err).Str("board", old.DiscoveryAddr).Msg("new configuration can't be used")
		return
	}
	p.server.UpdateClasses(keyedClasses(c))
	p.pools.SetMaxSendDelay(c.MaxSendDelay)
	p.reloads.applied.Add(1)
	if needsRestart(old, c) {
		p.log.Warn().Msg("new configuration has changes that need a restart")
	}
	p.log.Info().Str("from", old.DiscoveryAddr).Str("board", c.DiscoveryAddr).Int("classes", len(c.Settings.Classes)).
		Int("attempts", c.Settings.Permissions.MaxAttempts).Msg("new configuration")
	if c.DiscoveryAddr != old.DiscoveryAddr || !c.Names.Equal(old.Names) {
		p.watcher.SetSource(c.DiscoveryAddr, c.Names)
	}
	p.config.Store(keepRestartFields(old, c))
}

// needsRestart reports whether two configurations differ in fields that a running process can't change.
func needsRestart(old, c *config.Config) bool {
	return c.MemoryMB != old.MemoryMB || c.MaxSockets != old.MaxSockets || c.DialTimeout != old.DialTimeout ||
		c.IdleTimeout != old.IdleTimeout || c.MaxStreams != old.MaxStreams || c.Settings.Zone != old.Settings.Zone
}

// keepRestartFields returns a copy of configuration c with the old values of the limits and connection options that a
// running process can't change.
func keepRestartFields(old, c *config.Config) *config.Config {
	effective := *c
	effective.RememberKeys(old)
	effective.InitialEvents = nil // used only at start; the watch has delivered newer events since the start
	effective.MemoryMB = old.MemoryMB
	effective.MaxSockets = old.MaxSockets
	effective.DialTimeout = old.DialTimeout
	effective.IdleTimeout = old.IdleTimeout
	effective.MaxStreams = old.MaxStreams
	return &effective
}

// reloadFeatures loads the features file and applies it. An invalid file changes nothing.
func (p *process) reloadFeatures() {
	if p.flags.Features == "" {
		return
	}
	file, enabled, err := loadFeatures(p.flags.Features, p.config.Load())
	if err == nil {
		err = file.CheckReplaces(p.clock.Now(), p.features)
	}
	if err != nil {
		p.log.Error().Err(err).Msg("new features can't be used")
		return
	}
	if err := p.router.ApplyFeatures(enabled); err != nil {
		// Not expected, since the file has been checked. The other features of the file have been applied, so the file
		// still becomes the current one.
		p.log.Error().Err(err).Msg("new features can't be used")
	}
	p.features = file
	p.logFeatures(enabled)
}

// logFeatures logs the versions of the features that have been applied.
func (p *process) logFeatures(applied router.Features) {
	var cellsVersion, topologyVersion int64
	if applied.Cells != nil {
		cellsVersion = applied.Cells.Version()
	}
	if applied.Topology != nil {
		topologyVersion = applied.Topology.Topology().Version
	}
	_, migrationsVersion := p.router.MigrationStatus()
	p.log.Info().Int64("cells", cellsVersion).Int64("shape", topologyVersion).Int64("moves", migrationsVersion).
		Str("release", rolloutName(p.features)).Msg("new features")
}

// rolloutName returns the name of the rollout in a features file; empty if there is none.
func rolloutName(file *features.File) string {
	if rollout := file.ActiveRollout(); rollout != nil {
		return rollout.Name
	}
	return ""
}
