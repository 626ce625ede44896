"""EstimateRegression: what a caller's estimate says about the run time."""

_MEMORY_SAMPLES = 3000
_PRIOR_SAMPLES = 50.0  # weight of the assumption that estimates are right
_PRIOR_VARIANCE = 0.16  # of the log of estimates


class EstimateRegression:
    """Predicts the log of run times from the log of estimates of a queue.

    It handles estimates that are far off. A low estimate is more often too low than a
    high one, and low estimates go to slow workers; without the regression their
    overruns would be taken for the slowness of these workers.
    """

    def __init__(self) -> None:
        """Initializes a regression that returns the estimate."""
        self._sample_count = 0
        self._mean_estimate = 0.0
        self._mean_run = 0.0
        self._variance = 0.0
        self._covariance = 0.0
        self._slope = 1.0

    @property
    def bias(self) -> float:
        """Mean log of actual over estimated run times."""
        return self._mean_run - self._mean_estimate

    def predict(self, log_estimate: float) -> float:
        """Returns the expected log of a run time."""
        return self._mean_run + self._slope * (log_estimate - self._mean_estimate)

    def add(self, log_estimate: float, log_run: float) -> None:
        """Adds a run."""
        if not self._sample_count:
            # Predicts the estimate until there are samples.
            self._mean_estimate = self._mean_run = log_estimate
        count = self._sample_count = min(_MEMORY_SAMPLES, self._sample_count + 1)
        gain = 1 / (count + _PRIOR_SAMPLES)
        estimate_error = log_estimate - self._mean_estimate
        run_error = log_run - self._mean_run
        self._mean_estimate += gain * estimate_error
        self._mean_run += gain * run_error
        self._variance += (estimate_error * estimate_error - self._variance) / count
        self._covariance += (estimate_error * run_error - self._covariance) / count
        prior = _PRIOR_SAMPLES * _PRIOR_VARIANCE
        slope = (count * self._covariance + prior) / (count * self._variance + prior)
        self._slope = max(0.0, min(1.0, slope))
