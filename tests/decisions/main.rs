//! The decisions through the balancer's interface, one file a policy. A simulated proxy checks the four rules on the
//! way.

#[path = "../common/mod.rs"]
mod common;
mod support;

mod connections;
mod discovery;
mod limits;
mod load_reports;
mod outliers;
mod queue_and_rejection;
mod quotas;
mod retries;
mod selection;
mod slots;
mod slow_start;
mod streaming;
