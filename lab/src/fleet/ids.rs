//! Indices of proxies, regions and racks, each of a type of its own.

use tillerproxy::index_type;

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
