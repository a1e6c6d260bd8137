//! The watch on discovery, over loopback sockets in paused time: balancer, driver and watcher wired as in the program,
//! and a stand-in for discovery on the same runtime. Time advances when nothing else can.

mod discovery;
mod failures;
mod proxy;
mod stalls;

use std::time::Duration;

/// The shortest drain grace period of the known sites, and the longest time that a new call was
/// seen to queue there.
const SHORTEST_GRACE_PERIOD: Duration = Duration::from_millis(250);

const LONGEST_QUEUE_TIME: Duration = Duration::from_millis(1_950);
