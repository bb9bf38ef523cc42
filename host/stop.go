package host

import (
	"context"
	"sync"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/shutdown"
)

// Stop stops the host in order. It turns readiness off, so that connections
// are closed with their next response, hands jobs over, serves new connections
// until the load balancer has noticed, waits for running requests, ends those that the
// platform leaves no time for, and then stops all services.
func (h *Host) Stop(ctx context.Context) error {
	schedule := shutdown.NewSchedule(h.clock.Now(), balancerDelay, h.settings.StopTimeout)
	h.stopping.Store(true)
	h.requests.BeginStop(schedule)
	h.view.SetState(membership.Leaving)
	h.quotas.Leave()
	h.broker.StepDown()
	if h.tunnels != nil {
		h.tunnels.Leave()
	}
	answers, cancel := context.WithDeadline(ctx, schedule.AnswersDue)
	defer cancel()
	var handOver sync.WaitGroup
	handOver.Go(func() {
		h.jobs.HandOver(answers)
		h.presence.Leave(answers)
	})
	wait.For(ctx, h.clock, schedule.LateFrom.Sub(h.clock.Now()))
	h.callers.closeIdle()
	wait.For(ctx, h.clock, schedule.ListenerCloses.Sub(h.clock.Now()))
	h.callers.stopAccepting()
	h.requests.Wait(answers)
	h.requests.EndAll()
	exit, cancel := context.WithDeadline(ctx, schedule.Exit)
	defer cancel()
	err := h.callers.server.Shutdown(exit)
	if h.tunnels != nil {
		h.tunnels.Wait(exit)
	}
	handOver.Wait()
	h.requests.EndStop()
	h.cancel()
	<-h.done
	h.log.WithError(err).Info("stopped")
	return nil
}

// Reload reads the settings again and logs whether the addresses are
// unchanged. It applies no setting; changes take effect after a restart.
func (h *Host) Reload(path string) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		h.log.WithError(err).Error("can't read the settings again")
		return
	}
	unchanged := s.Callers == h.settings.Callers && s.Peers == h.settings.Peers && s.Store == h.settings.Store
	h.log.WithField("addresses_unchanged", unchanged).Info("settings read again; changes take effect after a restart")
}
