package entry

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	core "azureshift/core/entry"
	"azureshift/event"
	"azureshift/io/file"
	"azureshift/settings"
)

// _reloadPeriod is the interval at which the settings file is read again, since it may change without a signal.
const _reloadPeriod = 2 * time.Second

// watchSettings reads the settings file again every _reloadPeriod and on SIGHUP until the context ends, and applies the
// limits of a changed file.
func (daemon *Daemon) watchSettings(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(_reloadPeriod)
	defer ticker.Stop()
	last, err := daemon.readSettings()
	daemon.settingsFailed(err)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
		}
		raw, err := daemon.readSettings()
		if daemon.settingsFailed(err) || bytes.Equal(raw, last) {
			continue
		}
		last = raw
		parsed, err := settings.ParseEntry(raw)
		if !daemon.settingsFailed(err) {
			daemon.post(ctx, core.LimitsChanged{At: daemon.clock.now(), Limits: limitsOf(parsed)})
			daemon.log.Log(event.SettingsChanged, event.Fields{"Path": daemon.path})
		}
	}
}

func (daemon *Daemon) readSettings() ([]byte, error) {
	if daemon.path == "" {
		return nil, nil
	}
	return file.Read(daemon.path)
}

func (daemon *Daemon) settingsFailed(err error) bool {
	if err != nil {
		daemon.log.LogError(event.SettingsRefused, err, event.Fields{"Path": daemon.path})
	}
	return err != nil
}
