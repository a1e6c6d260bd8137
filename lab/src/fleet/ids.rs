//! Numbers of the fleet's parts, each of a type of its own.

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
    /// A proxy, numbered from 0.
    ProxyIndex(u16)
}

index_type! {
    /// A region, numbered from 0.
    Region(u16)
}

index_type! {
    /// A rack, numbered from 0 inside its zone.
    Rack(u16)
}
