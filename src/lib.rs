#![doc = include_str!("../README.md")]
#![deny(unsafe_code)]

pub mod api;
pub mod balancer;
pub mod proxy;
pub mod settings_json;
pub mod simulator;
mod spread;
