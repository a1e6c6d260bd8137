//! What the log holds and how it is written, by the environment.

use std::fmt;
use std::str::FromStr;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;

/// Names what is logged: a level, or `TARGET=LEVEL` pairs between commas.
const FILTER_VARIABLE: &str = "EDGE_LOG";
/// Names the format of the lines: `text` or `json`.
const FORMAT_VARIABLE: &str = "EDGE_LOG_FORMAT";
/// Names how many lines a second are written at the most.
const LINES_VARIABLE: &str = "EDGE_LOG_LINES_PER_SECOND";

const DEFAULT_LINES_PER_SECOND: u32 = 100;

/// How a line of the log is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Time, level, target, message and fields, for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl FromStr for LogFormat {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("must be `text` or `json`"),
        }
    }
}

/// What is logged, and how.
#[derive(Clone, Debug)]
pub struct LogOptions {
    /// What passes.
    pub filter: Targets,
    /// How a line looks.
    pub format: LogFormat,
    /// Lines in a second, at the most: no peer can make the log grow faster.
    pub lines_per_second: u32,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            filter: Targets::new().with_default(LevelFilter::INFO),
            format: LogFormat::Text,
            lines_per_second: DEFAULT_LINES_PER_SECOND,
        }
    }
}

/// An option of the log that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogOptionsError {
    variable: &'static str,
    given: String,
    problem: String,
}

impl fmt::Display for LogOptionsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: `{}` {}", self.variable, self.given, self.problem)
    }
}

impl std::error::Error for LogOptionsError {}

impl LogOptions {
    /// The options that the environment names; what is not set or empty keeps its default.
    ///
    /// # Errors
    /// The first variable that makes no sense.
    pub fn from_env(variable: impl Fn(&str) -> Option<String>) -> Result<Self, LogOptionsError> {
        let defaults = Self::default();
        let set = |name| variable(name).filter(|value| !value.is_empty());
        Ok(Self {
            filter: option(FILTER_VARIABLE, set, parse_filter)?.unwrap_or(defaults.filter),
            format: option(FORMAT_VARIABLE, set, |text| {
                text.parse::<LogFormat>().map_err(str::to_owned)
            })?
            .unwrap_or(defaults.format),
            lines_per_second: option(LINES_VARIABLE, set, parse_lines_per_second)?
                .unwrap_or(defaults.lines_per_second),
        })
    }
}

/// Reads a filter such as `info` or `warn,tillerproxy::request=debug`.
///
/// # Errors
/// Says what is wrong with it.
pub fn parse_filter(text: &str) -> Result<Targets, String> {
    text.parse()
        .map_err(|error| format!("is no filter: {error}"))
}

fn parse_lines_per_second(text: &str) -> Result<u32, String> {
    let lines: u32 = text
        .parse()
        .map_err(|_| "must be a whole number".to_owned())?;
    if lines == 0 {
        Err("must be above 0".to_owned())
    } else {
        Ok(lines)
    }
}

/// Reads one variable, if it is set.
fn option<T>(
    name: &'static str,
    set: impl Fn(&'static str) -> Option<String>,
    read: impl Fn(&str) -> Result<T, String>,
) -> Result<Option<T>, LogOptionsError> {
    let Some(given) = set(name) else {
        return Ok(None);
    };
    match read(&given) {
        Ok(value) => Ok(Some(value)),
        Err(problem) => Err(LogOptionsError {
            variable: name,
            given,
            problem,
        }),
    }
}

#[cfg(test)]
mod tests;
