//! Configuration of the proxy: the file that `EDGE_CONFIG` names, completed by the environment.

use super::budget::{Budget, MAX_OPERATOR_CALLS};
use super::logging::{InvalidLogOption, parse_filter};
use crate::api::{Micros, Settings};
use crate::settings_json::{
    Names, ParseSettingsError, deserialize, deserialize_proxy_settings, parse_settings,
};
use serde::Deserialize;
use serde_json::Value;
use std::net::{AddrParseError, SocketAddr};
use std::path::PathBuf;
use std::{env, fs, io};
use thiserror::Error;
use tracing_subscriber::filter::Targets;

const FILE_VARIABLE: &str = "EDGE_CONFIG";
const NAME_VARIABLE: &str = "EDGE_NAME";
const LISTEN_VARIABLE: &str = "EDGE_LISTEN";
const OPERATOR_VARIABLE: &str = "EDGE_OPERATOR";
const DISCOVERY_VARIABLE: &str = "EDGE_DISCOVERY";

/// Descriptors that are neither clients nor backends: standard streams, the runtime, the listener,
/// discovery.
const RESERVED_DESCRIPTORS: usize = 24;
const DEFAULT_DESCRIPTORS: usize = 1_024;
const DEFAULT_MEMORY_MB: usize = 192;

/// Why the configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A variable of the environment is missing.
    #[error("{0} is not set")]
    MissingVariable(&'static str),
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why it cannot be read.
        source: io::Error,
    },
    /// The file is no JSON, or a field is missing or malformed.
    #[error("malformed configuration: {0}")]
    Malformed(#[source] serde_path_to_error::Error<serde_json::Error>),
    /// An address is missing or malformed.
    #[error("`{field}`: found {given:?}, expected an IP address and a port")]
    Address {
        /// The field of the configuration.
        field: &'static str,
        /// Its value.
        given: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// The filter of the log is malformed.
    #[error("`log.filter`: `{given}` {source}")]
    LogFilter {
        /// The filter.
        given: String,
        /// What is wrong with it.
        source: InvalidLogOption,
    },
    /// A setting is malformed, or its value is not allowed.
    #[error(transparent)]
    Settings(#[from] ParseSettingsError),
}

/// A configuration that was checked.
#[derive(Debug)]
pub struct Config {
    /// The proxy's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators connect, if they can.
    pub operator: Option<SocketAddr>,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Seed of the random numbers.
    pub seed: u64,
    /// The endpoint list as last known, in the JSON form of discovery.
    pub cached_endpoints: Value,
    /// Settings of the decisions.
    pub settings: Settings,
    /// Names that the settings define.
    pub names: Names,
    /// When an attempt to connect has failed.
    pub connect_timeout: Micros,
    /// Memory and descriptors that the process may take.
    pub budget: Budget,
    /// What is logged; `None`: what the environment says.
    pub log_filter: Option<Targets>,
}

#[derive(Deserialize)]
struct RawConfig {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    listen: Option<String>,
    #[serde(default)]
    operator: Option<String>,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    seed: Value,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    log: RawLog,
    #[serde(default, rename = "known")]
    cached_endpoints: Value,
    settings: Value,
}

#[derive(Deserialize, Default)]
struct RawLimits {
    #[serde(default, rename = "sockets")]
    descriptors: Option<usize>,
    #[serde(default)]
    memory_mb: Option<usize>,
}

#[derive(Deserialize, Default)]
struct RawLog {
    #[serde(default)]
    filter: Option<String>,
}

impl Config {
    /// Reads the file that the environment names. `process_count` is the number of processes that
    /// its limits hold for: two during an upgrade.
    ///
    /// # Errors
    /// The first field or variable that is missing or malformed.
    pub fn from_env(process_count: usize) -> Result<Self, ConfigError> {
        let path = env::var_os(FILE_VARIABLE).ok_or(ConfigError::MissingVariable(FILE_VARIABLE))?;
        let path = PathBuf::from(path);
        let json = fs::read(&path).map_err(|source| ConfigError::Unreadable { path, source })?;
        Self::parse(&json, |name| env::var(name).ok(), process_count)
    }

    /// Parses the JSON text of a configuration; `variable` returns variables of the environment,
    /// which complete it.
    ///
    /// # Errors
    /// The first field that is missing or malformed.
    pub fn parse(
        json: &[u8],
        variable: impl Fn(&str) -> Option<String>,
        process_count: usize,
    ) -> Result<Self, ConfigError> {
        let raw: RawConfig = deserialize(json).map_err(ConfigError::Malformed)?;
        let settings_json = raw.settings.to_string();
        let proxy_settings =
            deserialize_proxy_settings(settings_json.as_bytes()).map_err(ConfigError::Malformed)?;
        let connect_timeout = proxy_settings.connect_timeout();
        let names = proxy_settings.into_names()?;
        let raw = raw.completed_by(variable);
        let listen = parse_address("listen", raw.listen.unwrap_or_default())?;
        let operator = raw
            .operator
            .filter(|given| !given.is_empty())
            .map(|given| parse_address("operator", given))
            .transpose()?;
        let discovery = parse_address("discovery", raw.discovery.unwrap_or_default())?;
        let settings = parse_settings(settings_json.as_bytes())?;
        let log_filter = raw.log.filter.map(parse_log_filter).transpose()?;
        Ok(Self {
            name: raw.name.unwrap_or_default(),
            listen,
            operator,
            discovery,
            seed: seed(&raw.seed),
            cached_endpoints: raw.cached_endpoints,
            settings,
            names,
            connect_timeout,
            budget: raw.limits.budget(operator.is_some(), process_count),
            log_filter,
        })
    }
}

impl RawConfig {
    /// Takes fields that the file lacks from the environment.
    fn completed_by(self, variable: impl Fn(&str) -> Option<String>) -> Self {
        Self {
            name: self.name.or_else(|| variable(NAME_VARIABLE)),
            listen: self.listen.or_else(|| variable(LISTEN_VARIABLE)),
            operator: self.operator.or_else(|| variable(OPERATOR_VARIABLE)),
            discovery: self.discovery.or_else(|| variable(DISCOVERY_VARIABLE)),
            ..self
        }
    }
}

impl RawLimits {
    fn budget(&self, has_operator: bool, process_count: usize) -> Budget {
        let operator_descriptors = if has_operator {
            1 + MAX_OPERATOR_CALLS
        } else {
            0
        };
        Budget::of(
            self.descriptors.unwrap_or(DEFAULT_DESCRIPTORS),
            self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB),
            RESERVED_DESCRIPTORS + operator_descriptors,
            process_count,
        )
    }
}

fn parse_address(field: &'static str, given: String) -> Result<SocketAddr, ConfigError> {
    given.parse().map_err(|source| ConfigError::Address {
        field,
        given,
        source,
    })
}

fn parse_log_filter(given: String) -> Result<Targets, ConfigError> {
    parse_filter(&given).map_err(|source| ConfigError::LogFilter { given, source })
}

/// Reads the seed: hexadecimal text, or a number. Without one it is random.
fn seed(value: &Value) -> u64 {
    value
        .as_str()
        .and_then(|text| u64::from_str_radix(text, 16).ok())
        .or_else(|| value.as_u64())
        .unwrap_or_else(|| fastrand::Rng::new().u64(..))
}
