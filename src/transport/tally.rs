//! Counters and latency histograms that are aggregated in memory and rendered
//! as text.
//!
//! cadence formats and validates the metrics; the sink in this module
//! aggregates them.

use {
    cadence::{Counted, Gauged, Histogrammed, MetricSink, StatsdClient, Timed},
    hdrhistogram::Histogram,
    std::{
        collections::BTreeMap,
        fmt::{self, Write},
        io,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

/// Prefix of every metric.
const PREFIX: &str = "persimmoncleat";

/// Maximum number of series, which are metrics with distinct tags. Teams and
/// routes are tags from the configuration, so their number is not bounded
/// otherwise.
const MAX_SERIES: usize = 4096;

/// Significant digits of a histogram's values.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Quantiles that are rendered for each histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

#[derive(Debug, Default)]
struct Aggregates {
    counters: BTreeMap<String, u64>,
    dropped: u64,
    gauges: BTreeMap<String, u64>,
    histograms: BTreeMap<String, Histogram<u64>>,
}

/// The metrics of one host.
#[derive(Clone)]
pub struct Tally {
    client: Arc<StatsdClient>,
    aggregates: Arc<Mutex<Aggregates>>,
}

impl Default for Tally {
    fn default() -> Self {
        let aggregates = Arc::new(Mutex::new(Aggregates::default()));
        let sink = Sink(Arc::clone(&aggregates));
        let client = StatsdClient::from_sink(PREFIX, sink);

        Self {
            client: Arc::new(client),
            aggregates,
        }
    }
}

impl fmt::Debug for Tally {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Tally")
    }
}

impl Tally {
    /// Adds one to a counter.
    pub fn count(&self, name: &str, tags: &[(&str, &str)]) {
        let mut builder = self.client.count_with_tags(name, 1);

        for (key, value) in tags {
            builder = builder.with_tag(key, value);
        }

        builder.send();
    }

    /// Sets the current value of a quantity.
    pub fn set(&self, name: &str, value: usize, tags: &[(&str, &str)]) {
        let value = u64::try_from(value).unwrap_or(u64::MAX);
        let mut builder = self.client.gauge_with_tags(name, value);

        for (key, value) in tags {
            builder = builder.with_tag(key, value);
        }

        builder.send();
    }

    /// Records a duration in a histogram, in milliseconds.
    pub fn time(&self, name: &str, elapsed: Duration, tags: &[(&str, &str)]) {
        let mut builder = self.client.time_with_tags(name, elapsed);

        for (key, value) in tags {
            builder = builder.with_tag(key, value);
        }

        builder.send();
    }

    /// Records a value in a histogram.
    pub fn sample(&self, name: &str, value: u64, tags: &[(&str, &str)]) {
        let mut builder = self.client.histogram_with_tags(name, value);

        for (key, value) in tags {
            builder = builder.with_tag(key, value);
        }

        builder.send();
    }

    /// Renders all metrics as text, one value per line.
    pub fn render(&self) -> String {
        let aggregates = self
            .aggregates
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();

        for (name, value) in &aggregates.counters {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{name} {value}");
        }

        for (name, value) in &aggregates.gauges {
            let _ = writeln!(text, "{name} {value}");
        }

        for (name, histogram) in &aggregates.histograms {
            let _ = writeln!(text, "{name} count={}", histogram.len());

            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "{name} p{}={value}", quantile * 100.0);
            }
        }

        let _ = writeln!(text, "{PREFIX}.series_dropped {}", aggregates.dropped);
        text
    }
}

/// Aggregates lines of the form `NAME:VALUE|TYPE|#KEY:VALUE,...`.
struct Sink(Arc<Mutex<Aggregates>>);

impl MetricSink for Sink {
    fn emit(&self, line: &str) -> io::Result<usize> {
        let mut aggregates = self.0.lock().unwrap_or_else(PoisonError::into_inner);

        if aggregates.add(line).is_none() {
            aggregates.dropped += 1;
        }

        Ok(line.len())
    }
}

impl Aggregates {
    fn add(&mut self, line: &str) -> Option<()> {
        let mut fields = line.split('|');
        let (name, value) = fields.next()?.rsplit_once(':')?;
        let kind = fields.next()?;
        let tags = fields.next().and_then(|tags| tags.strip_prefix('#'));
        let name = match tags {
            Some(tags) => format!("{name}{{{tags}}}"),
            None => name.to_owned(),
        };
        let value = value.parse::<u64>().ok()?;

        if self.counters.len() + self.gauges.len() + self.histograms.len() >= MAX_SERIES
            && !self.counters.contains_key(&name)
            && !self.gauges.contains_key(&name)
            && !self.histograms.contains_key(&name)
        {
            return None;
        }

        if kind == "c" {
            *self.counters.entry(name).or_default() += value;
            return Some(());
        }

        if kind == "g" {
            self.gauges.insert(name, value);
            return Some(());
        }

        let histogram = match self.histograms.entry(name) {
            std::collections::btree_map::Entry::Occupied(entry) => entry.into_mut(),
            std::collections::btree_map::Entry::Vacant(entry) => {
                entry.insert(Histogram::new(SIGNIFICANT_DIGITS).ok()?)
            }
        };
        histogram.record(value).ok()
    }
}
