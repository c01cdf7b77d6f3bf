//! Medians and spreads of figures over seeds.

use std::collections::BTreeMap;

/// The figures of all seeds of one scenario, deployment and policy.
#[derive(Clone, Debug, Default)]
pub struct Series {
    values: BTreeMap<String, Vec<f64>>,
}

impl Series {
    pub fn add(&mut self, figures: &BTreeMap<String, f64>) {
        for (name, value) in figures {
            self.values.entry(name.clone()).or_default().push(*value);
        }
    }

    /// Returns the median of a figure, or 0 if it has no values.
    pub fn median(&self, name: &str) -> f64 {
        let mut values = self.values.get(name).cloned().unwrap_or_default();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied().unwrap_or(0.0)
    }

    /// Returns half the difference between the largest and the smallest value of
    /// a figure.
    pub fn spread(&self, name: &str) -> f64 {
        let values = self.values.get(name).map_or(&[][..], Vec::as_slice);
        let largest = values.iter().copied().fold(f64::MIN, f64::max);
        let smallest = values.iter().copied().fold(f64::MAX, f64::min);
        if values.is_empty() {
            0.0
        } else {
            (largest - smallest) / 2.0
        }
    }

    /// Formats a figure as a percentage with its spread.
    pub fn percent(&self, name: &str) -> String {
        format!(
            "{:5.1}±{:<4.1}",
            self.median(name) * 100.0,
            self.spread(name) * 100.0
        )
    }

    /// Returns the figures whose names begin with `prefix`, as names without it.
    pub fn names(&self, prefix: &str) -> Vec<String> {
        let names = self.values.keys();
        names
            .filter_map(|name| name.strip_prefix(prefix))
            .map(str::to_owned)
            .collect()
    }
}
