//! Options of the log, taken from the environment.

use std::num::ParseIntError;
use std::str::FromStr;
use thiserror::Error;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::{ParseError, Targets};

/// Names what is logged: a level, or `TARGET=LEVEL` pairs between commas.
const FILTER_VARIABLE: &str = "EDGE_LOG";
/// Names the format of the lines: `text` or `json`.
const FORMAT_VARIABLE: &str = "EDGE_LOG_FORMAT";
/// Names how many lines a second are written at the most.
const LINES_VARIABLE: &str = "EDGE_LOG_LINES_PER_SECOND";

const DEFAULT_LINES_PER_SECOND: u32 = 100;

/// Format of a line of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Time, level, target, message and fields, for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl FromStr for LogFormat {
    type Err = InvalidLogOption;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(InvalidLogOption::Format),
        }
    }
}

/// What is logged, and how.
#[derive(Clone, Debug)]
pub struct LogOptions {
    /// What is logged.
    pub filter: Targets,
    /// Format of a line.
    pub format: LogFormat,
    /// The most lines in a second: no peer can make the log grow faster.
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

/// What is wrong with the value of an option.
#[derive(Debug, Error)]
pub enum InvalidLogOption {
    /// The filter is malformed.
    #[error("is no filter: {0}")]
    Filter(#[from] ParseError),
    /// There is no such format.
    #[error("must be `text` or `json`")]
    Format,
    /// The number is malformed or out of range.
    #[error("must be a whole number")]
    Number(#[from] ParseIntError),
    /// The number is 0.
    #[error("must be above 0")]
    Zero,
}

/// A variable of the environment that has an invalid value.
#[derive(Debug, Error)]
#[error("{variable}: `{given}` {source}")]
pub struct LogOptionsError {
    variable: &'static str,
    given: String,
    source: InvalidLogOption,
}

impl LogOptions {
    /// Reads the options from variables of the environment. An option keeps its default where its
    /// variable is not set or empty.
    ///
    /// # Errors
    /// The first variable with an invalid value.
    pub fn from_env(variable: impl Fn(&str) -> Option<String>) -> Result<Self, LogOptionsError> {
        let defaults = Self::default();
        let filter = option(FILTER_VARIABLE, &variable, parse_filter)?;
        let format = option(FORMAT_VARIABLE, &variable, str::parse)?;
        let lines_per_second = option(LINES_VARIABLE, &variable, parse_lines_per_second)?;
        Ok(Self {
            filter: filter.unwrap_or(defaults.filter),
            format: format.unwrap_or(defaults.format),
            lines_per_second: lines_per_second.unwrap_or(defaults.lines_per_second),
        })
    }
}

/// Parses a filter such as `info` or `warn,tillerproxy::request=debug`.
///
/// # Errors
/// [`InvalidLogOption::Filter`].
pub fn parse_filter(text: &str) -> Result<Targets, InvalidLogOption> {
    let filter = text.parse()?;
    Ok(filter)
}

fn parse_lines_per_second(text: &str) -> Result<u32, InvalidLogOption> {
    match text.parse()? {
        0 => Err(InvalidLogOption::Zero),
        lines => Ok(lines),
    }
}

/// Parses one variable, if it is set.
fn option<T>(
    name: &'static str,
    variable: impl Fn(&str) -> Option<String>,
    parse: impl Fn(&str) -> Result<T, InvalidLogOption>,
) -> Result<Option<T>, LogOptionsError> {
    let Some(given) = variable(name).filter(|value| !value.is_empty()) else {
        return Ok(None);
    };
    match parse(&given) {
        Ok(value) => Ok(Some(value)),
        Err(source) => Err(LogOptionsError {
            variable: name,
            given,
            source,
        }),
    }
}

#[cfg(test)]
mod tests;
