//! The decisions of the balancer, tested through its interface, one file for each policy. The simulated proxy of
//! `common` also checks rule 1 (one final answer), rule 2 (idempotency) and rule 3 (draining) on each action.

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
