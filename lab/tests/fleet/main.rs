//! The emulated fleet: its machines.

mod backend;
mod discovery;
mod events;
