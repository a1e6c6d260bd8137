//! Attempts over loopback sockets to backends that send data at unexpected times or slowly.
//!
//! The tests run in paused time: the clock of tokio advances only while all tasks wait.

mod broken_responses;
mod endless_responses;
mod paced_response;
mod rig;
mod second_responses;
mod slow_responses;
