//! Load reports of backends.

/// Reads load reports (`name=value,...`).
pub(super) struct LoadReportParser {
    /// The names of the fields, in the order that the balancer knows.
    fields: Vec<String>,
}

impl LoadReportParser {
    pub(super) fn new(fields: Vec<String>) -> Self {
        Self { fields }
    }

    /// Returns the values in the order of the fields; a field that the report lacks is NaN.
    pub(super) fn parse(&self, report: &str) -> Vec<f32> {
        self.fields
            .iter()
            .map(|field| value_of(field, report).unwrap_or(f32::NAN))
            .collect()
    }
}

fn value_of(field: &str, report: &str) -> Option<f32> {
    let mut pairs = report.split(',').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(name, _)| name.trim() == field)?;
    value.trim().parse().ok()
}
