//! Tests of the watch on discovery, over loopback sockets in paused time. The balancer, the driver and the watcher are
//! connected as in the program, and discovery runs on the same runtime. Time advances only when no task can run.

mod discovery;
mod failures;
mod proxy;
mod stalls;

use std::time::Duration;

/// The shortest drain grace period of the sites in `deploy/sites`.
const SHORTEST_GRACE_PERIOD: Duration = Duration::from_millis(250);

/// Longest time for which a new call is queued at discovery, over all sites.
const LONGEST_QUEUE_TIME: Duration = Duration::from_millis(1_950);
