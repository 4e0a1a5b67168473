package predictor

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// accuracyFactor is the factor by which a predicted first event may differ from the actual one.
const accuracyFactor = 2

// Counters for the first events of prompts by the accuracy of their prediction.
var (
	predictionsAccurate   = metrics.NewCounter("rattanhoist_first_event_predictions_accurate_total")
	predictionsInaccurate = metrics.NewCounter("rattanhoist_first_event_predictions_inaccurate_total")
)

// accurate reports whether a prediction is within accuracyFactor of the actual time.
func accurate(predicted, took time.Duration) bool {
	return predicted <= accuracyFactor*took && took <= accuracyFactor*predicted
}

func countPrediction(predicted, took time.Duration) {
	if accurate(predicted, took) {
		predictionsAccurate.Inc()
	} else {
		predictionsInaccurate.Inc()
	}
}
