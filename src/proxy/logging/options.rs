//! Options of the log, read from environment variables.

use std::num::ParseIntError;
use std::str::FromStr;
use thiserror::Error;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::{ParseError, Targets};

/// The variable with the filter: a level, or `TARGET=LEVEL` pairs separated by commas.
const FILTER_VARIABLE: &str = "EDGE_LOG";
/// The variable with the format of the lines: `text` or `json`.
const FORMAT_VARIABLE: &str = "EDGE_LOG_FORMAT";
/// The variable with the maximum number of lines per second.
const LINES_VARIABLE: &str = "EDGE_LOG_LINES_PER_SECOND";

const DEFAULT_LINES_PER_SECOND: u32 = 100;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of plain text with time, level, target, message and fields.
    #[default]
    Text,
    /// One JSON object per line.
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

/// Options of the log.
#[derive(Clone, Debug)]
pub struct LogOptions {
    /// The targets and levels that are logged.
    pub filter: Targets,
    /// The format of the lines.
    pub format: LogFormat,
    /// The maximum number of lines per second, so that no peer can make the log grow faster.
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

/// The reason why the value of an option is invalid. The message completes a sentence that starts with the value.
#[derive(Debug, Error)]
pub enum InvalidLogOption {
    /// The filter is malformed.
    #[error("must be a level or `TARGET=LEVEL` pairs separated by commas: {0}")]
    Filter(#[from] ParseError),
    /// The format is neither `text` nor `json`.
    #[error("must be `text` or `json`")]
    Format,
    /// The number is malformed or out of range.
    #[error("must be a whole number from 1 to {}", u32::MAX)]
    Number(#[from] ParseIntError),
    /// The number is 0.
    #[error("must be above 0")]
    Zero,
}

/// An environment variable has an invalid value.
#[derive(Debug, Error)]
#[error("{variable}: `{value}` {source}")]
pub struct LogOptionsError {
    variable: &'static str,
    value: String,
    source: InvalidLogOption,
}

impl LogOptions {
    /// Reads the options from environment variables, which `variable` looks up. An option whose variable is not set or
    /// empty keeps its default.
    ///
    /// # Errors
    /// A variable has an invalid value. Only the first one is reported.
    pub fn from_env(variable: impl Fn(&str) -> Option<String>) -> Result<Self, LogOptionsError> {
        let defaults = Self::default();
        let filter = parse_variable(FILTER_VARIABLE, &variable, parse_filter)?;
        let format = parse_variable(FORMAT_VARIABLE, &variable, str::parse)?;
        let lines_per_second = parse_variable(LINES_VARIABLE, &variable, parse_lines_per_second)?;
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
/// [`InvalidLogOption::Filter`] if the text is not a filter.
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

/// Looks up and parses one variable. Returns `None` if the variable is not set or empty.
fn parse_variable<T>(
    name: &'static str,
    variable: impl Fn(&str) -> Option<String>,
    parse: impl Fn(&str) -> Result<T, InvalidLogOption>,
) -> Result<Option<T>, LogOptionsError> {
    let Some(value) = variable(name).filter(|value| !value.is_empty()) else {
        return Ok(None);
    };
    match parse(&value) {
        Ok(parsed) => Ok(Some(parsed)),
        Err(source) => Err(LogOptionsError {
            variable: name,
            value,
            source,
        }),
    }
}

#[cfg(test)]
mod tests;
