//! The settings that only the proxy process needs: the connect timeout, and the names of classes, tenants, zones,
//! machine types and load report fields, which the balancer identifies by index.

use super::ParseSettingsError;
use crate::api::Micros;
use serde::Deserialize;

/// Connect timeout if the settings have none or 0.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;

/// The names that requests, discovery and load reports use. The balancer identifies what they name by the index in
/// these lists.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of the request classes.
    pub classes: Vec<String>,
    /// Names of the tenants; may be empty.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine types.
    pub machine_types: Vec<String>,
    /// Names of the fields of a load report.
    pub load_report_fields: Vec<String>,
}

/// The settings that only the proxy process needs.
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
    /// Returns the timeout for connecting to a backend.
    pub(crate) fn connect_timeout(&self) -> Micros {
        self.permissions.connect_timeout()
    }

    /// Returns the names that the settings define.
    ///
    /// # Errors
    /// The first class or tenant whose name is empty, or equal to an earlier one.
    pub(crate) fn into_names(self) -> Result<Names, ParseSettingsError> {
        Ok(Names {
            classes: distinct_names("classes", self.classes)?,
            tenants: distinct_names("tenants", self.tenants)?,
            zones: self.zones,
            machine_types: self.machine_types,
            load_report_fields: self.load_report.fields,
        })
    }
}

/// Returns the names of the entries of the list with key `list`. Requests state their class and tenant by name, so
/// each name must be unique.
fn distinct_names(list: &str, entries: Vec<RawNamed>) -> Result<Vec<String>, ParseSettingsError> {
    let mut names = Vec::with_capacity(entries.len());
    for (index, RawNamed { name }) in entries.into_iter().enumerate() {
        if name.is_empty() || names.contains(&name) {
            return Err(ParseSettingsError::InvalidValue {
                key: format!("{list}[{index}].name"),
                found: format!("{name:?}"),
                allowed: format!(
                    "a name that is not empty and that no other entry of `{list}` has"
                ),
            });
        }
        names.push(name);
    }
    Ok(names)
}
