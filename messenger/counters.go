package messenger

import (
	"expvar"
	"path"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Counters of calls between processes; docs/operate/counters.md lists them.
var (
	countServed = expvar.NewMap("rpc_served")
	countFailed = expvar.NewMap("rpc_failed")
)

// callsEnded counts calls that were ended because their message did not arrive.
var callsEnded = metrics.NewCounter("rattanhoist_pending_calls_ended_total")

// count counts a served call by its method, and also by its code if it failed. It returns err.
func count(method string, err error) error {
	name := path.Base(path.Dir(method)) + "/" + path.Base(method)
	countServed.Add(name, 1)
	if c := status.Code(err); c != codes.OK {
		countFailed.Add(name+" "+c.String(), 1)
	}
	return err
}
