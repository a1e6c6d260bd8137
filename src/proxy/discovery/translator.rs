//! Converts endpoint lists from discovery's JSON format to the types of the balancer.

use super::backend_ids::BackendIds;
use super::error::{DiscoveryError, EndpointError};
use super::start_times::StartTimes;
use super::wire::{RawEndpoint, RawEndpointList};
use crate::api::{Backend, BackendId, Cell, MachineType, Readiness, Zone};
use crate::proxy::clock::Clock;
use crate::proxy::messages::Endpoint;
use crate::settings_json::Names;
use rustc_hash::{FxHashMap, FxHashSet};
use serde_json::Value;
use serde_json::value::RawValue;
use std::borrow::Cow;

/// An endpoint list: all endpoints, or those that changed.
#[derive(Debug)]
pub struct EndpointList {
    /// Revision of the list.
    pub revision: u64,
    /// Whether the list has all endpoints, rather than only those that changed.
    pub is_complete: bool,
    /// The endpoints. Malformed ones are left out.
    pub endpoints: Vec<Endpoint>,
}

/// Converts endpoint lists from discovery's JSON format to [`EndpointList`]s, in which backends, zones and machine
/// types have numbers instead of names.
#[derive(Debug)]
pub struct Translator {
    zones: FxHashMap<String, Zone>,
    machine_types: FxHashMap<String, MachineType>,
    pub(super) backend_ids: BackendIds,
    pub(super) start_times: StartTimes,
}

impl Translator {
    /// Creates a translator without backends. `names` has the zones and machine types in the order of their numbers.
    #[must_use]
    pub fn new(clock: Clock, names: &Names) -> Self {
        let zones = (0..).map(Zone);
        let machine_types = (0..=u8::MAX).map(MachineType);
        Self {
            zones: names.zones.iter().cloned().zip(zones).collect(),
            machine_types: names
                .machine_types
                .iter()
                .cloned()
                .zip(machine_types)
                .collect(),
            backend_ids: BackendIds::default(),
            start_times: StartTimes::new(clock),
        }
    }

    /// Parses the JSON text of an endpoint list. Malformed endpoints are logged and skipped.
    ///
    /// # Errors
    /// [`DiscoveryError::MalformedList`] if the text is not JSON, or `revision` or the list itself is missing or
    /// malformed.
    pub fn parse(&mut self, json: &[u8]) -> Result<EndpointList, DiscoveryError> {
        let raw: RawEndpointList =
            serde_json::from_slice(json).map_err(DiscoveryError::MalformedList)?;
        let mut endpoints = Vec::with_capacity(raw.endpoints.len());
        let mut removed_names = Vec::new();
        for raw_endpoint in raw.endpoints {
            match self.endpoint(raw_endpoint) {
                Ok((endpoint, name)) => {
                    if endpoint.backend.readiness == Readiness::Removed {
                        removed_names.push(name);
                    }
                    endpoints.push(endpoint);
                }
                Err(error) => tracing::warn!(%error, "skipped an endpoint of the list"),
            }
        }
        let list = EndpointList {
            revision: raw.revision,
            is_complete: raw.is_complete,
            endpoints,
        };
        self.forget_removed(&list, &removed_names);
        Ok(list)
    }

    /// Converts an endpoint list that has already been parsed as JSON. Malformed endpoints are logged and skipped.
    ///
    /// # Errors
    /// The same as [`Translator::parse`].
    pub fn parse_value(&mut self, json: &Value) -> Result<EndpointList, DiscoveryError> {
        self.parse(json.to_string().as_bytes())
    }

    /// Converts an endpoint, and returns it together with the name of its backend.
    fn endpoint<'a>(
        &mut self,
        json: &'a RawValue,
    ) -> Result<(Endpoint, Cow<'a, str>), EndpointError> {
        let raw: RawEndpoint<'a> =
            serde_json::from_str(json.get()).map_err(EndpointError::Malformed)?;
        let address = raw
            .address
            .parse()
            .map_err(|source| EndpointError::Address {
                backend: raw.name.to_string(),
                address: raw.address.to_string(),
                source,
            })?;
        let zone = self.zones.get(raw.zone.as_ref()).copied().ok_or_else(|| {
            EndpointError::UnknownZone {
                backend: raw.name.to_string(),
                zone: raw.zone.to_string(),
            }
        })?;
        // A backend whose machine type is not in the settings gets the default type, because it can serve requests too.
        let machine_type = self
            .machine_types
            .get(raw.machine_type.as_ref())
            .copied()
            .unwrap_or_default();
        let id = self.backend_ids.get_or_assign(&raw.name);
        let backend = Backend {
            id,
            zone,
            machine_type,
            cell: Cell(raw.cell),
            readiness: raw.readiness.into(),
            started_at: self.start_times.convert(id, raw.started_at_unix_ms),
        };
        Ok((Endpoint { backend, address }, raw.name))
    }

    /// Removes the names and start times of backends that are no longer listed. Backend names are not reused, so they
    /// would take memory forever. The work is proportional to the length of `list`, even if it has only changes.
    fn forget_removed(&mut self, list: &EndpointList, removed_names: &[Cow<'_, str>]) {
        if !list.is_complete && removed_names.is_empty() {
            return;
        }
        let listed: FxHashSet<BackendId> = list
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.backend.readiness != Readiness::Removed)
            .map(|endpoint| endpoint.backend.id)
            .collect();
        if list.is_complete {
            self.backend_ids.retain(&listed);
            self.start_times.retain(&listed);
            return;
        }
        for name in removed_names {
            let id = self.backend_ids.get(name);
            if let Some(id) = id.filter(|id| !listed.contains(id)) {
                self.backend_ids.remove(name);
                self.start_times.remove(id);
            }
        }
    }
}
