//! Configuration of the proxy: the file that `EDGE_CONFIG` names, and environment variables for fields that it lacks.

use super::budget::{MAX_OPERATOR_CALLS, SharedLimits};
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

/// Descriptors for other purposes than client and backend connections: standard streams, the runtime, the listener and
/// discovery.
const RESERVED_DESCRIPTORS: usize = 24;
const DEFAULT_DESCRIPTORS: usize = 1_024;
const DEFAULT_MEMORY_MB: usize = 192;

/// The reason why the configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A required environment variable is missing.
    #[error("{0} is not set")]
    MissingVariable(&'static str),
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error of the read.
        source: io::Error,
    },
    /// The file is not valid JSON, or a field is missing or malformed.
    #[error("malformed configuration: {0}")]
    Malformed(#[source] serde_path_to_error::Error<serde_json::Error>),
    /// An address is missing or malformed.
    #[error("`{field}` is `{value}`, but must be an IP address with a port")]
    Address {
        /// The field of the configuration.
        field: &'static str,
        /// The value of the field; empty if it is missing.
        value: String,
        /// The error of the parser.
        source: AddrParseError,
    },
    /// The log filter is malformed.
    #[error("`log.filter`: `{value}` {source}")]
    LogFilter {
        /// The value of the field.
        value: String,
        /// The reason why the value is invalid.
        source: InvalidLogOption,
    },
    /// A setting is malformed, or its value is not allowed.
    #[error(transparent)]
    Settings(#[from] ParseSettingsError),
}

/// A validated configuration.
#[derive(Debug)]
pub struct Config {
    /// The name of the proxy.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address that operators connect to; `None` if the configuration has none.
    pub operator: Option<SocketAddr>,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the balancer's random numbers.
    pub seed: u64,
    /// The cached endpoint list, in the JSON format of discovery.
    pub cached_endpoints: Value,
    /// The settings of the balancer.
    pub settings: Settings,
    /// The names of the classes, tenants, zones, machine types and load report fields.
    pub names: Names,
    /// The timeout for connecting to a backend.
    pub connect_timeout: Micros,
    /// The limits on memory and descriptors.
    pub limits: SharedLimits,
    /// The log filter; `None` if the filter of the environment applies.
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
    /// Reads the file that `EDGE_CONFIG` names.
    ///
    /// # Errors
    /// The file cannot be read, or a field or variable is missing or malformed. Only the first problem is reported.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = env::var_os(FILE_VARIABLE).ok_or(ConfigError::MissingVariable(FILE_VARIABLE))?;
        let path = PathBuf::from(path);
        let json = fs::read(&path).map_err(|source| ConfigError::Unreadable { path, source })?;
        Self::parse(&json, |name| env::var(name).ok())
    }

    /// Parses the JSON text of a configuration. `variable` looks up the environment variables that supply fields that
    /// the text lacks.
    ///
    /// # Errors
    /// A field is missing or malformed. Only the first problem is reported.
    pub fn parse(
        json: &[u8],
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let raw: RawConfig = deserialize(json).map_err(ConfigError::Malformed)?;
        let settings_json = raw.settings.to_string();
        let proxy_settings =
            deserialize_proxy_settings(settings_json.as_bytes()).map_err(ConfigError::Malformed)?;
        let connect_timeout = proxy_settings.connect_timeout();
        let names = proxy_settings.into_names()?;
        let raw = raw.with_environment(variable);
        let listen = parse_address("listen", raw.listen.unwrap_or_default())?;
        let operator = raw
            .operator
            .filter(|value| !value.is_empty())
            .map(|value| parse_address("operator", value))
            .transpose()?;
        let discovery = parse_address("discovery", raw.discovery.unwrap_or_default())?;
        let settings = parse_settings(settings_json.as_bytes())?;
        let log_filter = raw.log.filter.map(parse_log_filter).transpose()?;
        Ok(Self {
            name: raw.name.unwrap_or_default(),
            listen,
            operator,
            discovery,
            seed: parse_seed(&raw.seed),
            cached_endpoints: raw.cached_endpoints,
            settings,
            names,
            connect_timeout,
            limits: raw.limits.shared(operator.is_some()),
            log_filter,
        })
    }
}

impl RawConfig {
    /// Fills in fields that the file lacks from the environment.
    fn with_environment(self, variable: impl Fn(&str) -> Option<String>) -> Self {
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
    fn shared(&self, has_operator: bool) -> SharedLimits {
        let operator_descriptors = if has_operator {
            1 + MAX_OPERATOR_CALLS
        } else {
            0
        };
        SharedLimits {
            descriptors: self.descriptors.unwrap_or(DEFAULT_DESCRIPTORS),
            memory_mb: self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB),
            reserved_descriptors: RESERVED_DESCRIPTORS + operator_descriptors,
        }
    }
}

fn parse_address(field: &'static str, value: String) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|source| ConfigError::Address {
        field,
        value,
        source,
    })
}

fn parse_log_filter(value: String) -> Result<Targets, ConfigError> {
    parse_filter(&value).map_err(|source| ConfigError::LogFilter { value, source })
}

/// Returns the seed of the balancer's random numbers: the value of the field, as hexadecimal text or a number, or a
/// random seed if the field holds neither.
fn parse_seed(value: &Value) -> u64 {
    value
        .as_str()
        .and_then(|text| u64::from_str_radix(text, 16).ok())
        .or_else(|| value.as_u64())
        .unwrap_or_else(|| fastrand::Rng::new().u64(..))
}
