package suite

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
)

// control measures what idle hosts spend on control.
func control() *experiment.Experiment {
	return &experiment.Experiment{
		Name: "control", Summary: "processor time, memory and bytes that a host spends on control",
		Targets: map[string]experiment.Target{
			"cpu_percent_per_node": atMost(1.5), "rss_mb_per_node": atMost(64), "bytes_per_s_per_node": atMost(2048),
		},
		Run: runControl,
	}
}

func runControl(ctx context.Context, env *experiment.Env) (experiment.Figures, error) {
	out := experiment.Figures{}
	for _, hosts := range []int{8, 32} {
		if err := controlRun(ctx, env, hosts, out); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// controlRun measures idle hosts of one data centre; the figures of the
// largest run are the experiment's.
func controlRun(_ context.Context, env *experiment.Env, hosts int, out experiment.Figures) error {
	o, err := idleRun(env, hosts, env.Duration(8*time.Second))
	if err != nil {
		return err
	}
	out["cpu_percent_per_node"] = 100 * o.cpu
	out["rss_mb_per_node"] = o.bytes / (1 << 20)
	out["bytes_per_s_per_node"] = o.traffic
	say(env, "%d hosts: %.2f%% of a core, %.1f MB, %.0f B/s a host", hosts,
		out["cpu_percent_per_node"], out["rss_mb_per_node"], out["bytes_per_s_per_node"])
	return nil
}

// processorTime returns the processor time of this process so far.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, errors.Wrap(err, "getrusage")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// heapInUse returns the memory in use for heap and stacks, after a collection.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
