//! The scenario of a fleet: its size, load, clients, discovery, what is allowed, and what goes wrong.

pub mod timeline;
mod validation;

use serde::{Deserialize, Serialize};
use tillerproxy::api::{self, Micros};
use timeline::TimelineEvent;

/// The most attempts for one request that the emulation keeps track of.
pub const MOST_ATTEMPTS: u16 = 4;

const MICROS_PER_SECOND: f64 = 1e6;
const MICROS_PER_MILLISECOND: f64 = 1e3;

/// Seconds to microseconds.
#[must_use]
pub fn seconds(value: f64) -> Micros {
    (value * MICROS_PER_SECOND).round() as Micros
}

/// Milliseconds to microseconds.
#[must_use]
pub fn milliseconds(value: f64) -> Micros {
    (value * MICROS_PER_MILLISECOND).round() as Micros
}

/// A whole fleet and what happens to it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetScenario {
    /// What is played, in a line.
    #[serde(default)]
    pub description: String,
    /// How long clients send requests, seconds.
    pub duration_s: f64,
    /// Requests of the first seconds are played and not counted.
    #[serde(default)]
    pub warmup_s: f64,
    /// How many machines there are and where.
    pub fleet: Fleet,
    /// The kinds of backend machines.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
    /// What holds for every backend.
    #[serde(default)]
    pub backends: Backends,
    /// Latencies between machines.
    #[serde(default)]
    pub network: Network,
    /// The classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// The tenants; none where requests belong to nobody in particular.
    #[serde(default)]
    pub tenants: Option<Tenants>,
    /// How much clients ask for.
    pub load: Load,
    /// What clients do with answers.
    #[serde(default)]
    pub clients: Clients,
    /// The discovery that all proxies share.
    #[serde(default)]
    pub discovery: Discovery,
    /// What a proxy may do.
    #[serde(default)]
    pub permissions: Permissions,
    /// Figures of the rules.
    #[serde(default)]
    pub safety: Safety,
    /// What happens, and when.
    #[serde(default, rename = "event")]
    pub events: Vec<TimelineEvent>,
}

/// How many machines there are and where they stand.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Proxies, spread evenly over the zones.
    pub proxies: u32,
    /// Backends, spread evenly over the zones.
    pub backends: u32,
    /// Zones, spread evenly over the regions.
    #[serde(default = "one_u16")]
    pub zones: u16,
    /// Regions.
    #[serde(default = "one_u16")]
    pub regions: u16,
    /// Racks in a zone.
    #[serde(default = "default_racks")]
    pub racks_per_zone: u16,
    /// Backends of a zone that share which keys they have seen.
    #[serde(default = "default_cell")]
    pub cell_size: u32,
}

fn one_u16() -> u16 {
    1
}

fn default_racks() -> u16 {
    20
}

fn default_cell() -> u32 {
    6
}

/// A kind of backend machine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its part of the backends; parts are scaled to add up to 1.
    pub share: f64,
    /// Requests that it works on at once.
    pub cores: u16,
    /// Speed of a core; 1 does a millisecond of work in a millisecond.
    #[serde(default = "one_f64")]
    pub speed: f64,
    /// Machines of the kind differ in speed by up to this part, either way.
    #[serde(default)]
    pub speed_spread: f64,
}

fn one_f64() -> f64 {
    1.0
}

/// What holds for every backend.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Backends {
    /// Requests that wait for a core at the most; further ones are turned away.
    pub queue: u32,
    /// A request whose proxy gave it up while it waited is not worked on.
    pub skips_abandoned: bool,
    /// Answers carry a load report: requests in work, requests waiting, mean service time in milliseconds.
    pub load_reports: bool,
}

impl Default for Backends {
    fn default() -> Self {
        Self {
            queue: 64,
            skips_abandoned: true,
            load_reports: false,
        }
    }
}

/// One-way latencies in milliseconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Inside a zone.
    pub same_zone_ms: f64,
    /// Between zones of a region.
    pub same_region_ms: f64,
    /// Between regions.
    pub cross_region_ms: f64,
    /// Mean of what is added by chance, as a part of the latency (exponential).
    pub jitter: f64,
    /// A connection that is not up after this time has failed.
    pub dial_timeout_ms: f64,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            same_zone_ms: 0.25,
            same_region_ms: 0.8,
            cross_region_ms: 30.0,
            jitter: 0.1,
            dial_timeout_ms: 250.0,
        }
    }
}

/// How work varies about its mean.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "distribution")]
pub enum WorkSpread {
    /// Not at all.
    #[default]
    None,
    /// Exponentially.
    Exponential,
    /// Log-normally.
    Lognormal {
        /// Standard deviation of the logarithm.
        sigma: f64,
    },
}

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Backends drop repeats of a key for a while.
    Keyed,
    /// Must not run twice.
    Unsafe,
}

/// The backends that drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyGroup {
    /// Every backend.
    #[default]
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the requests; parts are scaled to add up to 1.
    pub share: f64,
    /// Mean work, milliseconds of a core of speed 1.
    pub work_ms: f64,
    /// How work varies.
    #[serde(default)]
    pub spread: WorkSpread,
    /// Answers inside this time earn the full worth.
    pub aim_ms: f64,
    /// How long a client waits in all.
    pub deadline_ms: f64,
    /// Worth of an answer in time.
    #[serde(default = "one_f64")]
    pub worth: f64,
    /// Part of the worth left after the aim.
    #[serde(default)]
    pub late_worth: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// For keyed classes: which backends drop a repeat.
    #[serde(default)]
    pub key_group: KeyGroup,
    /// For keyed classes: for how long they do.
    #[serde(default = "default_key_ttl")]
    pub key_ttl_ms: f64,
}

fn default_key_ttl() -> f64 {
    1_500.0
}

impl Class {
    /// The class in the decision module's terms.
    #[must_use]
    pub fn settings(&self) -> api::Class {
        let group = match self.key_group {
            KeyGroup::All => api::KeyScope::AllBackends,
            KeyGroup::Zone => api::KeyScope::Zone,
            KeyGroup::Cell => api::KeyScope::Cell,
        };
        let effect = match self.effect {
            Effect::Safe => api::Idempotency::Idempotent,
            Effect::Unsafe => api::Idempotency::NonIdempotent,
            Effect::Keyed => api::Idempotency::Keyed {
                scope: group,
                ttl: milliseconds(self.key_ttl_ms),
            },
        };
        api::Class {
            latency_objective: milliseconds(self.aim_ms),
            objective_work_factor: 0.0,
            timeout: milliseconds(self.deadline_ms),
            priority_weight: self.worth,
            late_weight_factor: self.late_worth,
            idempotency: effect,
        }
    }
}

/// The tenants and how traffic spreads over them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenants {
    /// How many there are.
    pub count: u16,
    /// Exponent of the Zipf law of their traffic; 0: all alike.
    #[serde(default)]
    pub skew: f64,
    /// A tenant's allowance as a multiple of its usual traffic.
    #[serde(default = "default_allowance")]
    pub allowance: f64,
    /// Worth of a request beyond its tenant's allowance, as a part of the class's worth.
    #[serde(default = "default_over_share")]
    pub over_share_worth: f64,
}

fn default_allowance() -> f64 {
    1.5
}

fn default_over_share() -> f64 {
    0.1
}

/// How much clients ask for.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Offered work as a part of what all backends together can do.
    pub fraction: f64,
    /// Standard deviation of the logarithm of the proxies' traffic; 0: all alike.
    #[serde(default)]
    pub proxy_skew: f64,
}

/// What clients do with answers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Tries in all, the first one included.
    pub tries: u8,
    /// One try is given up after this part of the class's deadline.
    pub try_timeout: f64,
    /// Mean wait before a further try (exponential).
    pub retry_wait_ms: f64,
    /// Part of the clients that heed a refusal's retry-after.
    pub heeds_retry_after: f64,
    /// Part of the clients that leave before their answer.
    pub leaves: f64,
    /// How long the front goes on sending clients to a dead proxy.
    pub notices_dead_proxy_s: f64,
    /// One-way latency between clients and proxies.
    pub latency_ms: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            tries: 3,
            try_timeout: 0.5,
            retry_wait_ms: 50.0,
            heeds_retry_after: 0.8,
            leaves: 0.0,
            notices_dead_proxy_s: 2.0,
            latency_ms: 0.25,
        }
    }
}

/// The discovery that all proxies share. It stands in the first region.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// How long after a change discovery has it.
    pub notice_ms: f64,
    /// Changes are published together at this interval.
    pub publish_interval_ms: f64,
    /// Calls that begin a watch or ask for the whole list, handled one after another.
    pub calls_per_s: f64,
    /// Answers of standing watches a second, in the same order of turns; all at once where it is missing.
    pub answers_per_s: Option<f64>,
    /// A call that has waited for its turn for longer fails.
    pub longest_turn_ms: f64,
    /// One-way latency to every proxy.
    pub latency_ms: f64,
    /// Size of an entry in an answer.
    pub entry_bytes: u32,
    /// Size of a call and an answer without entries.
    pub call_bytes: u32,
    /// Changed entries that are remembered; a proxy that is further behind gets the whole list.
    pub history: usize,
    /// All proxies watch at the start, as they do when they have run for long.
    pub standing_watches: bool,
}

impl Default for Discovery {
    fn default() -> Self {
        Self {
            notice_ms: 500.0,
            publish_interval_ms: 100.0,
            calls_per_s: 150.0,
            answers_per_s: None,
            longest_turn_ms: 3_000.0,
            latency_ms: 0.5,
            entry_bytes: 132,
            call_bytes: 200,
            history: 6_000,
            standing_watches: true,
        }
    }
}

/// What a proxy may do.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Permissions {
    /// Attempts for one request.
    pub max_attempts: u16,
    /// Whether a request may have two attempts out at once.
    pub second_copies: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// An idle connection closes after this time.
    pub conn_idle_s: f64,
    /// The longest retry-after that clients heed.
    pub retry_after_ms: f64,
    /// Price of an attempt that crosses zones, as a part of a mean request's worth.
    pub cross_zone_price: f64,
}

impl Default for Permissions {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            second_copies: false,
            cancel: true,
            conn_idle_s: 60.0,
            retry_after_ms: 2_000.0,
            cross_zone_price: 0.022,
        }
    }
}

/// Figures of the rules.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Safety {
    /// A proxy without a watch counts as knowing the list as of this long ago.
    pub ask_within_s: f64,
    /// The part of its capacity that a backend has when it starts.
    pub cold_from: f64,
    /// The time after which it is warm.
    pub cold_time_s: f64,
    /// Sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long, a cold backend falls over.
    pub fall_time_s: f64,
    /// Nothing new goes to a backend this long after a proxy was informed that it drains or is gone.
    pub drain_grace_s: f64,
    /// Time past a client's deadline in which a final answer still counts.
    pub answer_slack_ms: f64,
}

impl Default for Safety {
    fn default() -> Self {
        Self {
            ask_within_s: 10.0,
            cold_from: 0.2,
            cold_time_s: 10.0,
            fall_multiple: 3.0,
            fall_time_s: 3.0,
            drain_grace_s: 2.0,
            answer_slack_ms: 20.0,
        }
    }
}

impl FleetScenario {
    /// Shrinks (or grows) proxies and backends by `factor`, and the load with them.
    #[must_use]
    pub fn scaled(mut self, factor: f64) -> Self {
        let scale = |count: u32| {
            ((f64::from(count) * factor).round() as u32).max(u32::from(self.fleet.zones))
        };
        (self.fleet.proxies, self.fleet.backends) =
            (scale(self.fleet.proxies), scale(self.fleet.backends));
        self
    }

    /// Mean work of a request in milliseconds on a core of speed 1.
    #[must_use]
    pub fn mean_work_ms(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        self.classes
            .iter()
            .map(|class| class.share * class.work_ms)
            .sum::<f64>()
            / shares
    }
}
