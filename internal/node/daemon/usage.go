package daemon

import (
	"context"
	"expvar"
	"log/slog"
	"runtime/metrics"
	"time"

	"github.com/flamingomast/flamingomast/internal/stat/logs"
)

// usageEvery is how often a daemon writes what it takes and sends: often enough to see a
// burst of some seconds, seldom enough that the lines of hundreds of daemons are few.
const usageEvery = 10 * time.Second

// memory are the parts of the runtime's memory that the usage line tells.
var memory = []struct{ field, metric string }{
	{"heap-objects", "/memory/classes/heap/objects:bytes"},
	{"heap-unused", "/memory/classes/heap/unused:bytes"},
	{"heap-free", "/memory/classes/heap/free:bytes"},
	{"heap-released", "/memory/classes/heap/released:bytes"},
	{"stacks", "/memory/classes/heap/stacks:bytes"},
	{"runtime", "/memory/classes/metadata/other:bytes"},
	{"goroutines", "/sched/goroutines:goroutines"},
	{"collections", "/gc/cycles/total:gc-cycles"},
}

// runUsage writes a line of what the daemon takes and sends now and then, and at its end.
// All counts are from the start of the process.
func (dm *Daemon) runUsage(ctx context.Context) {
	tick := time.NewTicker(usageEvery)
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
		slog.Int64("control-in", dm.bytes.In.Load()), slog.Int64("control-out", dm.bytes.Out.Load()),
		slog.Int64("path-in", dm.pathBytes.In.Load()), slog.Int64("path-out", dm.pathBytes.Out.Load()),
	}
	samples := make([]metrics.Sample, len(memory))
	for i, me := range memory {
		samples[i].Name = me.metric
	}
	metrics.Read(samples)
	for i, me := range memory {
		if samples[i].Value.Kind() == metrics.KindUint64 {
			attrs = append(attrs, slog.Uint64(me.field, samples[i].Value.Uint64()))
		}
	}
	attrs = append(attrs, group(logs.StoreCalls, &dm.guard.CallsByPurpose), group(logs.StoreBytesRead, &dm.guard.BytesByPurpose), group(logs.LinkBytes, dm.Node.Traffic))
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
