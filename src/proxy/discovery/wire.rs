//! The JSON form of endpoint lists, as the discovery protocol defines it.
//!
//! Only this module maps the protocol's names to the terms of the balancer.

use crate::api::Readiness;
use serde::Deserialize;
use serde::de::{Deserializer, Error};
use serde_json::value::RawValue;
use std::borrow::Cow;

/// An endpoint list whose endpoints have not been parsed yet, so that a malformed endpoint does not make the others
/// unusable.
#[derive(Deserialize)]
pub(super) struct RawEndpointList<'a> {
    pub(super) revision: u64,
    #[serde(default, rename = "complete")]
    pub(super) is_complete: bool,
    #[serde(default, borrow, rename = "members")]
    pub(super) endpoints: Vec<&'a RawValue>,
}

/// One endpoint of a list.
#[derive(Deserialize)]
pub(super) struct RawEndpoint<'a> {
    #[serde(borrow, rename = "id")]
    pub(super) name: Cow<'a, str>,
    #[serde(borrow, rename = "host_port")]
    pub(super) address: Cow<'a, str>,
    #[serde(borrow, rename = "locality")]
    pub(super) zone: Cow<'a, str>,
    #[serde(default, borrow, rename = "flavor")]
    pub(super) machine_type: Cow<'a, str>,
    #[serde(default)]
    pub(super) cell: u16,
    #[serde(rename = "phase")]
    pub(super) readiness: RawReadiness,
    /// Start time of the backend's process in Unix milliseconds; 0 if it started long ago.
    #[serde(default, rename = "up_since_ms")]
    pub(super) started_at_unix_ms: u64,
}

/// Readiness of an endpoint, which the protocol calls its phase.
#[derive(Clone, Copy)]
pub(super) enum RawReadiness {
    Ready,
    Draining,
    Removed,
}

const PHASES: &[&str] = &["active", "leaving", "left"];

/// Accepts a phase only as text: a derived implementation would also accept `{"active": null}`.
impl<'de> Deserialize<'de> for RawReadiness {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let phase = Cow::<str>::deserialize(deserializer)?;
        match phase.as_ref() {
            "active" => Ok(Self::Ready),
            "leaving" => Ok(Self::Draining),
            "left" => Ok(Self::Removed),
            unknown => Err(Error::unknown_variant(unknown, PHASES)),
        }
    }
}

impl From<RawReadiness> for Readiness {
    fn from(raw: RawReadiness) -> Self {
        match raw {
            RawReadiness::Ready => Self::Ready,
            RawReadiness::Draining => Self::Draining,
            RawReadiness::Removed => Self::Removed,
        }
    }
}
