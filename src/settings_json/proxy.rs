//! The settings that only the proxy on real sockets needs: the names of what the decisions know by its position, and
//! the timeout of a connect.

use crate::api::{Micros, SettingsError};
use serde::Deserialize;

/// Used where the settings have none.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;

/// Names that the protocols use, and that the decisions know by their position.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants; may be empty.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Machine types.
    pub machine_types: Vec<String>,
    /// Fields of a load report.
    pub load_report_fields: Vec<String>,
}

/// The settings that only the proxy on real sockets needs.
#[derive(Deserialize)]
pub(crate) struct RawProxySettings {
    #[serde(default)]
    classes: Vec<RawNamed>,
    #[serde(default)]
    tenants: Vec<RawNamed>,
    #[serde(default, rename = "failureDomains")]
    zones: Vec<String>,
    #[serde(default, rename = "kinds")]
    machine_types: Vec<String>,
    #[serde(default, rename = "loadReport")]
    load_report: RawLoadReport,
    #[serde(default)]
    permissions: RawPermissions,
}

#[derive(Deserialize)]
struct RawNamed {
    #[serde(default)]
    name: String,
}

#[derive(Deserialize, Default)]
struct RawLoadReport {
    #[serde(default)]
    fields: Vec<String>,
}

#[derive(Deserialize, Default)]
struct RawPermissions {
    #[serde(default, rename = "dialTimeoutUs")]
    connect_timeout: Option<Micros>,
}

impl RawPermissions {
    fn connect_timeout(&self) -> Micros {
        self.connect_timeout
            .filter(|&timeout| timeout > 0)
            .unwrap_or(DEFAULT_CONNECT_TIMEOUT)
    }
}

impl RawProxySettings {
    /// Returns the time after which an attempt to connect has failed.
    pub(crate) fn connect_timeout(&self) -> Micros {
        self.permissions.connect_timeout()
    }

    /// Returns the names that the settings define.
    ///
    /// # Errors
    /// The first class or tenant without a name of its own.
    pub(crate) fn into_names(self) -> Result<Names, SettingsError> {
        Ok(Names {
            classes: distinct_names("classes", self.classes)?,
            tenants: distinct_names("tenants", self.tenants)?,
            zones: self.zones,
            machine_types: self.machine_types,
            load_report_fields: self.load_report.fields,
        })
    }
}

/// Returns the names of a list of the settings. Requests are told apart by them, so each has one of
/// its own.
fn distinct_names(list: &str, entries: Vec<RawNamed>) -> Result<Vec<String>, SettingsError> {
    let mut names = Vec::with_capacity(entries.len());
    for (index, RawNamed { name }) in entries.into_iter().enumerate() {
        let problem = if name.is_empty() {
            Some("must not be empty")
        } else if names.contains(&name) {
            Some("stands there twice")
        } else {
            None
        };
        if let Some(problem) = problem {
            return Err(SettingsError {
                field: format!("{list}[{index}].name"),
                problem: problem.into(),
            });
        }
        names.push(name);
    }
    Ok(names)
}
