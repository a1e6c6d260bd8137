//! Identifiers and the unit of time of the balancer's API.

use std::fmt;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Declares an identifier type, distinct from all others, that is displayed as a plain number.
macro_rules! id_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);

        impl $name {
            /// Returns the number as a list index, for callers whose ids are consecutive from 0.
            #[must_use]
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

id_type! {
    /// Id of a request at one proxy. Ids wrap around after 2^32 requests.
    RequestId
}

id_type! {
    /// Id of a backend. It stays the same when the backend's process restarts, and is the same at every proxy unless
    /// the names of two backends have the same hash, which is rare.
    BackendId
}

/// Declares an index type, distinct from all others.
///
/// # Example
/// ```
/// tillerproxy::index_type! {
///     /// Index of a rack, from 0.
///     Rack(u16)
/// }
///
/// assert_eq!(Rack(7).index(), 7);
/// ```
#[macro_export]
macro_rules! index_type {
    ($(#[$documentation:meta])* $name:ident($number:ty)) => {
        $(#[$documentation])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $number);

        impl $name {
            /// Returns the number as a list index.
            #[must_use]
            pub fn index(self) -> usize {
                usize::from(self.0)
            }
        }
    };
}

index_type! {
    /// Position of a request class in [`Settings::classes`](super::Settings::classes).
    ClassIndex(u8)
}

index_type! {
    /// Position of a tenant in [`Settings::tenants`](super::Settings::tenants).
    TenantIndex(u16)
}

index_type! {
    /// Index of a zone, from 0.
    Zone(u16)
}

index_type! {
    /// Index of a machine type that backends run on, from 0.
    MachineType(u8)
}

index_type! {
    /// Index of a cell, a set of backends that share their idempotency keys. The index is unique across zones.
    Cell(u16)
}
