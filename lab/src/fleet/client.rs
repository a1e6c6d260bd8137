//! Clients: when they ask for what, which proxy the front gives them, and what they do with an answer.

use super::discovery::ProxyNumber;
use super::random::{Stream, stream};
use super::scenario::{Class, Clients, Effect, FleetScenario, KeyGroup, WorkSpread, milliseconds};
use super::topology::Topology;
use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, Exp1, LogNormal};
use tillerproxy::api::Micros;

/// What a client wants, with all its tries.
#[derive(Clone, Copy, Debug)]
pub struct ClientCall {
    /// Position of its class.
    pub class: u8,
    /// Position of its tenant.
    pub tenant: u16,
    /// Its zone, before traffic shifts.
    pub zone: u16,
    /// What it is about.
    pub key: u64,
    /// Work, microseconds on a core of speed 1.
    pub work: f64,
    /// Worth of its answer in time; less than its class's beyond its tenant's allowance.
    pub worth: f64,
    /// When it was first made.
    pub born: Micros,
    /// Tries so far.
    pub tries: u8,
    /// Drawn once: chooses the proxy of the first try.
    pub way: f64,
    /// Drawn once: chooses whether a traffic shift takes it along.
    pub shift: f64,
    /// Drawn once: whether and when the client leaves.
    pub leave: f64,
    /// It has ended.
    pub ended: bool,
}

/// Positions with weights, drawn by a number in 0..1.
#[derive(Clone, Debug)]
pub struct Weighted {
    cumulative: Vec<f64>,
}

impl Weighted {
    /// Positions 0, 1, 2 ... of these weights.
    #[must_use]
    pub fn new(weights: impl Iterator<Item = f64>) -> Self {
        let mut sum = 0.0;
        let add = |weight: f64| {
            sum += weight;
            sum
        };
        Self {
            cumulative: weights.map(add).collect(),
        }
    }

    /// The position that a number in 0..1 chooses.
    #[must_use]
    pub fn choose(&self, drawn: f64) -> Option<usize> {
        let total = *self.cumulative.last()?;
        let position = self.cumulative.partition_point(|&sum| sum <= drawn * total);
        Some(position.min(self.cumulative.len() - 1))
    }

    /// A position's part of the whole.
    #[must_use]
    pub fn share(&self, position: usize) -> f64 {
        let before = if position == 0 {
            0.0
        } else {
            self.cumulative[position - 1]
        };
        (self.cumulative[position] - before) / self.cumulative.last().copied().unwrap_or(1.0)
    }
}

/// How the work of a class varies, ready to be drawn from.
#[derive(Clone, Copy, Debug)]
enum WorkDistribution {
    Constant,
    Exponential,
    Lognormal(LogNormal<f64>),
}

#[derive(Clone, Copy, Debug)]
struct Work {
    mean: f64,
    distribution: WorkDistribution,
}

impl Work {
    fn of(class: &Class) -> Self {
        let distribution = match class.spread {
            WorkSpread::None => WorkDistribution::Constant,
            WorkSpread::Exponential => WorkDistribution::Exponential,
            // A mean of 1: the logarithm's mean is minus half its variance.
            WorkSpread::Lognormal { sigma } => LogNormal::new(-sigma * sigma / 2.0, sigma)
                .map_or(WorkDistribution::Constant, WorkDistribution::Lognormal),
        };
        Self {
            mean: milliseconds(class.work_ms) as f64,
            distribution,
        }
    }

    fn draw(&self, random: &mut SmallRng) -> f64 {
        let factor: f64 = match &self.distribution {
            WorkDistribution::Constant => 1.0,
            WorkDistribution::Exponential => random.sample(Exp1),
            WorkDistribution::Lognormal(law) => law.sample(random),
        };
        self.mean * factor
    }
}

/// Who asks for what.
#[derive(Clone, Debug)]
pub struct Demand {
    classes: Weighted,
    works: Vec<Work>,
    tenants: Weighted,
    zones: u16,
    /// Requests a second of the whole fleet.
    pub rate: f64,
}

impl Demand {
    /// The demand of a scenario on its machines.
    #[must_use]
    pub fn new(scenario: &FleetScenario, topology: &Topology) -> Self {
        let (count, skew) = scenario
            .tenants
            .as_ref()
            .map_or((1, 0.0), |tenants| (tenants.count, tenants.skew));
        let tenants = (1..=count).map(|rank| f64::from(rank).powf(-skew));
        Self {
            classes: Weighted::new(scenario.classes.iter().map(|class| class.share)),
            works: scenario.classes.iter().map(Work::of).collect(),
            tenants: Weighted::new(tenants),
            zones: topology.zones,
            rate: scenario.load.fraction * topology.capacity() / scenario.mean_work_ms() * 1e3,
        }
    }

    /// A tenant's part of the requests.
    #[must_use]
    pub fn tenant_share(&self, tenant: u16) -> f64 {
        self.tenants.share(usize::from(tenant))
    }

    fn draw(&self, now: Micros, tenant: Option<u16>, random: &mut SmallRng) -> ClientCall {
        let class = self.classes.choose(random.random()).unwrap_or_default();
        let drawn_tenant = self.tenants.choose(random.random()).unwrap_or_default() as u16;
        ClientCall {
            class: class as u8,
            tenant: tenant.unwrap_or(drawn_tenant),
            zone: random.random_range(0..self.zones),
            key: random.random(),
            work: self.works[class].draw(random),
            worth: 0.0,
            born: now,
            tries: 0,
            way: random.random(),
            shift: random.random(),
            leave: random.random(),
            ended: false,
        }
    }
}

/// Time's worth of its allowance that a tenant may ask for at once, seconds, and the least that it may,
/// calls.
const ALLOWANCE_BURST_S: f64 = 0.5;
const LEAST_BURST: f64 = 10.0;

/// What tenants may ask for over all proxies: a token bucket for each.
#[derive(Clone, Debug)]
pub struct Allowances {
    buckets: Vec<AllowanceBucket>,
}

#[derive(Clone, Copy, Debug)]
struct AllowanceBucket {
    rate: f64,
    tokens: f64,
    filled_at: Micros,
}

impl AllowanceBucket {
    fn most(&self) -> f64 {
        (self.rate * ALLOWANCE_BURST_S).max(LEAST_BURST)
    }
}

impl Allowances {
    /// Full buckets of these rates, calls a second; without any, no tenant has a limit.
    #[must_use]
    pub fn new(rates: impl Iterator<Item = f64>) -> Self {
        let full = |rate| {
            let bucket = AllowanceBucket {
                rate,
                tokens: 0.0,
                filled_at: 0,
            };
            AllowanceBucket {
                tokens: bucket.most(),
                ..bucket
            }
        };
        Self {
            buckets: rates.map(full).collect(),
        }
    }

    /// Whether a call of a tenant lies within its allowance; takes it from there.
    pub fn take(&mut self, now: Micros, tenant: u16) -> bool {
        let Some(bucket) = self.buckets.get_mut(usize::from(tenant)) else {
            return true;
        };
        let grown = bucket.tokens + bucket.rate * (now - bucket.filled_at) as f64 / 1e6;
        (bucket.tokens, bucket.filled_at) = (grown.min(bucket.most()), now);
        let within = bucket.tokens >= 1.0;
        bucket.tokens -= f64::from(u8::from(within));
        within
    }
}

/// Calls that come at random, without regard to answers (a Poisson process).
#[derive(Debug)]
pub struct ArrivalStream {
    /// Calls a second.
    rate: f64,
    /// When it ends.
    until: Micros,
    /// Whose calls they are; drawn for each where it is missing.
    tenant: Option<u16>,
    /// The exact time of the latest arrival, microseconds: gaps may be shorter than a microsecond.
    latest: f64,
    random: SmallRng,
}

impl ArrivalStream {
    /// A stream of `rate` calls a second that begins at `from`; `index` tells the streams of a run apart.
    #[must_use]
    pub fn new(
        rate: f64,
        from: Micros,
        until: Micros,
        tenant: Option<u16>,
        seed: u64,
        index: u64,
    ) -> Self {
        Self {
            rate,
            until,
            tenant,
            latest: from as f64,
            random: stream(seed, Stream::Arrivals, index),
        }
    }

    /// The time of the next arrival, if there is one before the end.
    pub fn next_arrival(&mut self) -> Option<Micros> {
        let gap: f64 = self.random.sample(Exp1);
        self.latest += gap * 1e6 / self.rate;
        (self.latest < self.until as f64).then_some(self.latest as Micros)
    }

    /// Draws the call that arrives now.
    pub fn draw(&mut self, now: Micros, demand: &Demand) -> ClientCall {
        demand.draw(now, self.tenant, &mut self.random)
    }
}

/// A part of a zone's clients that goes to another zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficShift {
    /// Whose clients.
    pub from: u16,
    /// Where they go.
    pub to: u16,
    /// The part of them.
    pub fraction: f64,
}

/// Distributes clients over the proxies of their zone that it takes for alive.
#[derive(Debug)]
pub struct Front {
    admitted: Vec<bool>,
    zones: Vec<ZoneFront>,
    /// The shifts that hold now.
    pub shifts: Vec<TrafficShift>,
}

#[derive(Debug)]
struct ZoneFront {
    proxies: Vec<ProxyNumber>,
    weights: Weighted,
}

impl Front {
    /// A front that takes all proxies for alive.
    #[must_use]
    pub fn new(topology: &Topology) -> Self {
        let admitted = vec![true; topology.proxies.len()];
        let zones = (0..topology.zones)
            .map(|zone| ZoneFront::new(topology, zone, &admitted))
            .collect();
        Self {
            admitted,
            zones,
            shifts: Vec::new(),
        }
    }

    /// It takes a proxy for alive, or for dead, from now on.
    pub fn admit(&mut self, topology: &Topology, proxy: ProxyNumber, alive: bool) {
        self.admitted[usize::from(proxy)] = alive;
        let zone = topology.proxies[usize::from(proxy)].zone;
        self.zones[usize::from(zone)] = ZoneFront::new(topology, zone, &self.admitted);
    }

    /// The proxy for a call, chosen by a number in 0..1: of the client's zone, or of the next zone that has
    /// one.
    #[must_use]
    pub fn choose(&self, call: &ClientCall, drawn: f64) -> Option<ProxyNumber> {
        let shift = self
            .shifts
            .iter()
            .find(|shift| shift.from == call.zone && call.shift < shift.fraction);
        let home = usize::from(shift.map_or(call.zone, |shift| shift.to));
        let count = self.zones.len();
        (0..count).find_map(|step| {
            let zone = &self.zones[(home + step) % count];
            zone.weights
                .choose(drawn)
                .map(|position| zone.proxies[position])
        })
    }
}

impl ZoneFront {
    fn new(topology: &Topology, zone: u16, admitted: &[bool]) -> Self {
        let inside = |proxy: &ProxyNumber| {
            let number = usize::from(*proxy);
            topology.proxies[number].zone == zone && admitted[number]
        };
        let proxies: Vec<ProxyNumber> = (0..topology.proxies.len() as ProxyNumber)
            .filter(inside)
            .collect();
        let weights = proxies
            .iter()
            .map(|&proxy| topology.proxies[usize::from(proxy)].weight);
        Self {
            weights: Weighted::new(weights),
            proxies,
        }
    }
}

/// How one try of a client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryEnd {
    /// Refused: trying again is harmless.
    Refused {
        /// How long the client should stay away.
        retry_after: Micros,
    },
    /// Failed, with no promise of its effect.
    Failed,
    /// The client's time for this try was up.
    TimedOut,
    /// The proxy did not take it.
    Unreachable,
}

/// What clients do after a try.
#[derive(Debug)]
pub struct RetryBehavior {
    settings: Clients,
    random: SmallRng,
}

impl RetryBehavior {
    /// The behavior of a scenario's clients.
    #[must_use]
    pub fn new(settings: &Clients, seed: u64) -> Self {
        Self {
            settings: settings.clone(),
            random: stream(seed, Stream::Clients, 0),
        }
    }

    /// After how long a client tries again, if it does.
    pub fn wait(
        &mut self,
        now: Micros,
        call: &ClientCall,
        class: &Class,
        end: TryEnd,
    ) -> Option<Micros> {
        if call.tries >= self.settings.tries || !may_repeat(now, call, class, end) {
            return None;
        }
        let drawn: f64 = self.random.sample(Exp1);
        let own = (milliseconds(self.settings.retry_wait_ms) as f64 * drawn) as Micros;
        let heeds = self.random.random::<f64>() < self.settings.heeds_retry_after;
        let wait = match end {
            TryEnd::Refused { retry_after } if heeds => own + retry_after,
            TryEnd::Unreachable => 0,
            _ => own,
        };
        (now + wait < call.born + milliseconds(class.deadline_ms)).then_some(wait)
    }

    /// A number in 0..1 that chooses the proxy of a further try.
    pub fn draw_way(&mut self) -> f64 {
        self.random.random()
    }

    /// When the client gives up a try that begins now.
    #[must_use]
    pub fn try_deadline(&self, now: Micros, call: &ClientCall, class: &Class) -> Micros {
        let deadline = milliseconds(class.deadline_ms);
        let patience = (deadline as f64 * self.settings.try_timeout) as Micros;
        (now + patience).min(call.born + deadline)
    }

    /// When the client leaves before its answer, if it does.
    #[must_use]
    pub fn leaves_at(&self, call: &ClientCall, class: &Class) -> Option<Micros> {
        let leaves = call.leave < self.settings.leaves;
        let fraction = call.leave / self.settings.leaves;
        leaves.then(|| call.born + (milliseconds(class.aim_ms) as f64 * fraction) as Micros)
    }
}

/// Whether a client may try again after such an end. It does not know whether a failed try ran.
fn may_repeat(now: Micros, call: &ClientCall, class: &Class, end: TryEnd) -> bool {
    if matches!(end, TryEnd::Refused { .. } | TryEnd::Unreachable) {
        return true;
    }
    match class.effect {
        Effect::Safe => true,
        Effect::Keyed => {
            class.key_group == KeyGroup::All && now < call.born + milliseconds(class.key_ttl_ms)
        }
        Effect::Unsafe => false,
    }
}
