package daemon

import (
	"context"
	"expvar"
	"log/slog"
	"runtime/metrics"
	"time"

	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// usageInterval is how often a daemon logs its resource usage and traffic: often enough to show a
// burst of some seconds, seldom enough that hundreds of daemons log few lines.
const usageInterval = 10 * time.Second

// memoryMetrics are the runtime metrics in the usage line.
var memoryMetrics = []struct{ field, metric string }{
	{"heap-objects", "/memory/classes/heap/objects:bytes"},
	{"heap-unused", "/memory/classes/heap/unused:bytes"},
	{"heap-free", "/memory/classes/heap/free:bytes"},
	{"heap-released", "/memory/classes/heap/released:bytes"},
	{"stacks", "/memory/classes/heap/stacks:bytes"},
	{"runtime", "/memory/classes/metadata/other:bytes"},
	{"goroutines", "/sched/goroutines:goroutines"},
	{"collections", "/gc/cycles/total:gc-cycles"},
}

// runUsage logs the daemon's resource usage and traffic at each interval and when the daemon ends.
// All counts start with the process.
func (dm *Daemon) runUsage(ctx context.Context) {
	tick := time.NewTicker(usageInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
		dm.logUsage()
	}
}

func (dm *Daemon) logUsage() {
	us := ownUsage()
	attrs := []slog.Attr{
		slog.Bool("relay", dm.Node.Board.Links.Get().Relay), slog.Int64("resident", us.Resident), slog.Int64("processor-ms", us.CPUTime.Milliseconds()),
		slog.Int64("control-in", dm.controlBytes.In.Load()), slog.Int64("control-out", dm.controlBytes.Out.Load()),
		slog.Int64("path-in", dm.pathBytes.In.Load()), slog.Int64("path-out", dm.pathBytes.Out.Load()),
	}
	samples := make([]metrics.Sample, len(memoryMetrics))
	for i, me := range memoryMetrics {
		samples[i].Name = me.metric
	}
	metrics.Read(samples)
	for i, me := range memoryMetrics {
		if samples[i].Value.Kind() == metrics.KindUint64 {
			attrs = append(attrs, slog.Uint64(me.field, samples[i].Value.Uint64()))
		}
	}
	attrs = append(attrs, group(logs.StoreCalls, &dm.guard.CallsByPurpose), group(logs.StoreBytesRead, &dm.guard.BytesByPurpose), group(logs.LinkBytes, dm.Node.Traffic), group(logs.SlotTime, &dm.Inlet.SlotTime))
	dm.log.LogAttrs(context.Background(), slog.LevelInfo, logs.Usage, attrs...)
}

// group returns the counts of a map as one attribute.
func group(name string, counts *expvar.Map) slog.Attr {
	var attrs []any
	counts.Do(func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok {
			attrs = append(attrs, slog.Int64(kv.Key, n.Value()))
		}
	})
	return slog.Group(name, attrs...)
}
