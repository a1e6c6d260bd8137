//! Parsing of the load reports of backends.

/// Parses load reports of the form `name=value,...`.
pub(super) struct LoadReportParser {
    /// Names of the fields, in the order in which the balancer expects their values.
    fields: Vec<String>,
}

impl LoadReportParser {
    pub(super) fn new(fields: Vec<String>) -> Self {
        Self { fields }
    }

    /// Returns the values in the order of the fields. The value of a field that is missing or not a number is NaN.
    pub(super) fn parse(&self, report: &str) -> Vec<f32> {
        self.fields
            .iter()
            .map(|field| value_of(field, report).unwrap_or(f32::NAN))
            .collect()
    }
}

/// Returns the value of one field; `None` if the field is missing or not a number.
fn value_of(field: &str, report: &str) -> Option<f32> {
    let mut pairs = report.split(',').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(name, _)| name.trim() == field)?;
    value.trim().parse().ok()
}
