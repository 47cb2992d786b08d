"""Count and measure, with a bounded number of labels."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Generic, TypeVar

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    PlatformCollector,
    ProcessCollector,
    disable_created_metrics,
    generate_latest,
)
from prometheus_client.metrics import MetricWrapperBase
from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

OTHER = "other"
SECONDS_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60)

_MOST_LABEL_SETS = 200
_PREFIX = "cranberrywall_"

MetricT = TypeVar("MetricT", bound=MetricWrapperBase)

# The library would add a second series to each, with the time at which it was made.
disable_created_metrics()  # type: ignore[no-untyped-call]  # the library has no types for it


class Family(Generic[MetricT]):
    """Hold one metric's time series; sets of labels beyond the bound go to ``other``.

    Without the bound, a caller that makes up names would fill this process's memory and
    the memory of whatever collects the metrics.
    """

    def __init__(self, metric: MetricT, label_count: int, most: int) -> None:
        self._metric = metric
        self._most = most
        self._others = (OTHER,) * label_count
        self._series_by_labels: dict[tuple[str, ...], MetricT] = {}
        if label_count == 0:
            self._series_by_labels[()] = metric

    def labels(self, *values: str) -> MetricT:
        """Return the series of these label values, in the order of the names."""
        series = self._series_by_labels.get(values)
        if series is not None:
            return series
        if len(self._series_by_labels) >= self._most:
            values = self._others
        series = self._metric.labels(*values)
        self._series_by_labels[values] = series
        return series


class _ReadCollector(Collector):
    """Export values that are read at each collection."""

    def __init__(
        self,
        family: type[CounterMetricFamily | GaugeMetricFamily],
        name: str,
        help_text: str,
        label: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        self._family = family
        self._name = name
        self._help_text = help_text
        self._label = label
        self._read = read

    def collect(self) -> Iterable[Metric]:
        family = self._family(self._name, self._help_text, labels=[self._label])
        for value, count in self._read().items():
            family.add_metric([value], count)
        return [family]


class Metrics:
    """Make one process's metrics; every name gets the prefix ``cranberrywall_``."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        PlatformCollector(registry=self._registry)

    @property
    def registry(self) -> CollectorRegistry:
        """Return the registry, for packages that bring metrics of their own."""
        return self._registry

    def counter(
        self, name: str, help_text: str, labels: Sequence[str] = (), most: int = _MOST_LABEL_SETS
    ) -> Family[Counter]:
        """Return a counter; its name is given without ``_total``."""
        metric = Counter(_PREFIX + name, help_text, labels, registry=self._registry)
        return Family(metric, len(labels), most)

    def gauge(
        self, name: str, help_text: str, labels: Sequence[str] = (), most: int = _MOST_LABEL_SETS
    ) -> Family[Gauge]:
        """Return a gauge."""
        metric = Gauge(_PREFIX + name, help_text, labels, registry=self._registry)
        return Family(metric, len(labels), most)

    def histogram(
        self,
        name: str,
        help_text: str,
        labels: Sequence[str] = (),
        buckets: Sequence[float] = SECONDS_BUCKETS,
        most: int = _MOST_LABEL_SETS,
    ) -> Family[Histogram]:
        """Return a histogram; ``buckets`` are upper bounds, by default in seconds."""
        metric = Histogram(
            _PREFIX + name, help_text, labels, registry=self._registry, buckets=buckets
        )
        return Family(metric, len(labels), most)

    def gauge_of(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Export what ``read`` gives at each collection."""
        gauge = Gauge(_PREFIX + name, help_text, registry=self._registry)
        gauge.set_function(read)

    def counters_of(
        self, name: str, help_text: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Export the counts that ``read`` gives at each collection, by their value of ``label``.

        It suits counts of a hot path, kept as plain ints; the values must be a closed list.
        """
        collector = _ReadCollector(CounterMetricFamily, _PREFIX + name, help_text, label, read)
        self._registry.register(collector)

    def gauges_of(
        self, name: str, help_text: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Export the values that ``read`` gives at each collection, as ``counters_of`` does."""
        collector = _ReadCollector(GaugeMetricFamily, _PREFIX + name, help_text, label, read)
        self._registry.register(collector)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self._registry)


def make_metrics() -> Metrics:
    """Return a process's metrics, with those of the process itself (memory, CPU, files)."""
    return Metrics()
