//! Identifiers and units of the interface.

use std::fmt;

/// A point in time or a span, in microseconds.
pub type Micros = u64;

/// Declares an identifier of one kind that cannot be mixed up with another. It is printed as a plain number.
macro_rules! id_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);

        impl $name {
            /// Returns the number as an index of a list, for callers that number from 0 on.
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
    /// A request, as the proxy numbers it. Ids wrap around after 2^32 requests.
    RequestId
}

id_type! {
    /// A backend; the same number after its process restarts, and at every proxy (but for rare names that share a hash).
    BackendId
}

/// Declares a number of one kind that cannot be mixed up with another.
macro_rules! index_type {
    ($(#[$documentation:meta])* $name:ident($number:ty)) => {
        $(#[$documentation])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $number);

        impl $name {
            /// Returns the number as an index of a list.
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
    /// A zone, numbered from 0.
    Zone(u16)
}

index_type! {
    /// A type of machine that backends run on, numbered from 0.
    MachineType(u8)
}

index_type! {
    /// A group of backends that know one another's idempotency keys, numbered through all zones.
    Cell(u16)
}
