//! Tests of the proxy's program over loopback sockets, with backends, clients and discovery that behave well or badly.

mod bodies;
mod broken_responses;
mod capacity;
mod client_disconnect;
mod connection_reuse;
mod corrupt_responses;
mod discovery;
mod forwarding;
mod logging;
mod memory;
mod operating;
mod overload;
mod request_forms;
mod response_ends;
mod retries;
mod rig;
mod shutdown;
mod slow_readers;
mod slow_responses;
mod soak;
mod startup;
mod stuck_uploads;
