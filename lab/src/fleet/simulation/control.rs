//! Discovery and the timeline in the simulation: calls and replies, publications, and the changes to
//! machines.

use super::super::backend::Life;
use super::super::discovery::{Answer, Call, Discovery, ProxyNumber, Received, Reply};
use super::super::faults::Change;
use super::super::proxy::{OutgoingCall, ProxyLife, membership};
use super::super::scenario::{FleetScenario, milliseconds, seconds};
use super::super::slab::RefSlab;
use super::super::topology::{Machine, Topology};
use super::{SimEvent, Simulation};
use rand::Rng;
use std::collections::VecDeque;
use tillerproxy::api::{
    Backend, BackendId, Cell, Event, MachineType, MembershipEvent, Micros, Readiness, Settings,
    Zone,
};

/// The region in which discovery stands.
const DISCOVERY_REGION: u16 = 0;

/// What the simulation keeps of discovery.
pub(super) struct ControlSide {
    pub(super) discovery: Discovery,
    /// The entries as they are, published or not.
    entries: Vec<Backend>,
    /// Changes that discovery has not noticed, the oldest first.
    unnoticed: VecDeque<Backend>,
    /// When the first change happened that is noticed and not published.
    noticed_since: Micros,
    turn_scheduled: bool,
    /// The latest call of each proxy.
    outgoing: Vec<Call>,
    replies: RefSlab<Option<Reply>>,
}

impl ControlSide {
    /// A discovery that lists all backends as ready.
    pub(super) fn new(scenario: &FleetScenario, topology: &Topology) -> Self {
        let entries: Vec<Backend> = (0..)
            .zip(&topology.machines)
            .map(|(id, m)| entry(id, m))
            .collect();
        let proxies = topology.proxies.len();
        let no_call = |proxy| Call {
            proxy,
            serial: 0,
            after: None,
            wait: 0,
            continues: false,
        };
        Self {
            discovery: Discovery::new(&scenario.discovery, entries.clone(), proxies),
            entries,
            unnoticed: VecDeque::new(),
            noticed_since: 0,
            turn_scheduled: false,
            outgoing: (0..proxies as ProxyNumber).map(no_call).collect(),
            replies: RefSlab::new(),
        }
    }
}

/// The entry of a backend that has run for long.
fn entry(id: BackendId, machine: &Machine) -> Backend {
    let &Machine {
        zone, kind, cell, ..
    } = machine;
    Backend {
        id,
        zone: Zone(zone),
        machine_type: MachineType(kind),
        cell: Cell(cell),
        readiness: Readiness::Ready,
        started_at: None,
    }
}

impl Simulation<'_> {
    // ---- Calls of proxies ----

    /// Every proxy holds a watch that began at a random time before the start.
    pub(super) fn open_standing_watches(&mut self) {
        for number in 0..self.proxies.len() {
            let outgoing = self.proxies[number].watcher.continue_watch();
            let left: f64 = self.proxy_seeds.random();
            let wait = (outgoing.call.wait as f64 * left) as Micros;
            let timeout = outgoing.timeout - outgoing.call.wait + wait;
            let OutgoingCall { call, .. } = outgoing;
            self.queue.push(
                timeout,
                SimEvent::CallTimeout {
                    proxy: call.proxy,
                    serial: call.serial,
                },
            );
            let received = self.control.discovery.receive(0, Call { wait, ..call });
            self.after_received(received, Call { wait, ..call });
        }
        self.control.discovery.traffic = Default::default();
    }

    pub(super) fn call_discovery(&mut self, outgoing: OutgoingCall) {
        let OutgoingCall { call, timeout } = outgoing;
        let Call { proxy, serial, .. } = call;
        self.control.outgoing[usize::from(proxy)] = call;
        let way = milliseconds(self.scenario.discovery.latency_ms);
        self.queue
            .push_after(way, SimEvent::CallArrives { proxy, serial });
        self.queue
            .push_after(timeout, SimEvent::CallTimeout { proxy, serial });
    }

    /// Whether a region partition lies between a proxy and discovery.
    fn is_cut_off(&self, proxy: ProxyNumber) -> bool {
        let zone = self.proxies[usize::from(proxy)].zone;
        self.partitioned && self.topology.region(zone) != DISCOVERY_REGION
    }

    pub(super) fn on_call_arrives(&mut self, now: Micros, proxy: ProxyNumber, serial: u32) {
        let call = self.control.outgoing[usize::from(proxy)];
        if call.serial != serial || self.is_cut_off(proxy) {
            return;
        }
        let received = self.control.discovery.receive(now, call);
        self.after_received(received, call);
        self.metrics
            .on_discovery(now, self.control.discovery.traffic);
    }

    fn after_received(&mut self, received: Received, call: Call) {
        match received {
            Received::Answered(reply) => self.send_reply(reply),
            Received::Standing => {
                let over = SimEvent::WatchOver {
                    proxy: call.proxy,
                    serial: call.serial,
                };
                self.queue.push_after(call.wait, over);
            }
            Received::Waiting => self.schedule_turn(),
        }
    }

    fn schedule_turn(&mut self) {
        if self.control.turn_scheduled {
            return;
        }
        if let Some(span) = self.control.discovery.next_turn_takes() {
            self.control.turn_scheduled = true;
            self.queue.push_after(span, SimEvent::DiscoveryTurn);
        }
    }

    pub(super) fn on_discovery_turn(&mut self, now: Micros) {
        self.control.turn_scheduled = false;
        if let Some((received, call)) = self.control.discovery.take_turn(now) {
            self.after_received(received, call);
        }
        self.schedule_turn();
        self.metrics
            .on_discovery(now, self.control.discovery.traffic);
    }

    pub(super) fn on_watch_over(&mut self, now: Micros, proxy: ProxyNumber, serial: u32) {
        if let Some(reply) = self.control.discovery.end_wait(proxy, serial) {
            self.send_reply(reply);
            self.metrics
                .on_discovery(now, self.control.discovery.traffic);
        }
    }

    fn send_reply(&mut self, reply: Reply) {
        let way = milliseconds(self.scenario.discovery.latency_ms);
        let reply = self.control.replies.insert(Some(reply), 1);
        self.queue.push_after(way, SimEvent::ReplyArrives { reply });
    }

    pub(super) fn on_reply(&mut self, now: Micros, place: u32) {
        let reply = self.control.replies[place].take();
        self.control.replies.release(place);
        let Some(Reply {
            proxy,
            serial,
            answer,
        }) = reply
        else {
            return;
        };
        let target = &mut self.proxies[usize::from(proxy)];
        let lives = target.life == ProxyLife::Up;
        if !lives
            || self.is_cut_off(proxy)
            || !self.proxies[usize::from(proxy)].watcher.take_answer(serial)
        {
            return;
        }
        let target = &mut self.proxies[usize::from(proxy)];
        match answer {
            Answer::Failed => {
                target.watcher.failed();
                self.tell_policy(now, proxy, Event::Membership(MembershipEvent::WatchFailed));
            }
            Answer::List {
                revision,
                complete,
                entries,
            } => {
                let next = target.watcher.answered(revision);
                target.learn(now, complete, &entries);
                self.metrics.on_informed(now, proxy, revision);
                self.call_discovery(next);
                if complete || !entries.is_empty() {
                    self.tell_policy(
                        now,
                        proxy,
                        Event::Membership(membership(complete, &entries)),
                    );
                }
            }
        }
    }

    pub(super) fn on_call_timeout(&mut self, now: Micros, proxy: ProxyNumber, serial: u32) {
        let target = &mut self.proxies[usize::from(proxy)];
        if target.life == ProxyLife::Up && target.watcher.take_answer(serial) {
            target.watcher.failed();
            self.tell_policy(now, proxy, Event::Membership(MembershipEvent::WatchStalled));
        }
    }

    // ---- Changes of the list ----

    /// An entry has changed; discovery notices it after a while.
    fn change_entry(&mut self, backend: BackendId, readiness: Readiness, started: Option<Micros>) {
        let entry = &mut self.control.entries[backend as usize];
        (entry.readiness, entry.started_at) = (readiness, started);
        self.control.unnoticed.push_back(*entry);
        self.queue.push_after(
            milliseconds(self.scenario.discovery.notice_ms),
            SimEvent::Notice,
        );
    }

    pub(super) fn on_notice(&mut self, now: Micros) {
        let Some(entry) = self.control.unnoticed.pop_front() else {
            return;
        };
        if self.control.discovery.notice(entry) {
            self.control.noticed_since = now - milliseconds(self.scenario.discovery.notice_ms);
            let interval = milliseconds(self.scenario.discovery.publish_interval_ms).max(1);
            self.queue
                .push_after(interval - now % interval, SimEvent::Publish);
        }
    }

    pub(super) fn on_publish(&mut self, now: Micros) {
        let replies = self.control.discovery.publish();
        let living = self
            .proxies
            .iter()
            .filter(|proxy| proxy.life == ProxyLife::Up)
            .count();
        self.metrics.on_publication(
            self.control.discovery.revision(),
            self.control.noticed_since,
            living,
        );
        replies.into_iter().for_each(|reply| self.send_reply(reply));
        self.schedule_turn();
        self.metrics
            .on_discovery(now, self.control.discovery.traffic);
    }

    // ---- The timeline ----

    pub(super) fn on_change(&mut self, now: Micros, index: u32) {
        let (_, change) = self.plan.changes[index as usize];
        match change {
            Change::Drain(id) => {
                if self.backends[id as usize].life == Life::Up {
                    self.change_entry(
                        id,
                        Readiness::Draining,
                        self.control.entries[id as usize].started_at,
                    );
                }
            }
            Change::StopBackend(id, life) => {
                if self.backends[id as usize].life == Life::Up {
                    self.stop_backend(now, id, life);
                }
            }
            Change::StartBackend(id, life) => self.start_backend(now, id, life),
            Change::Slow(id, factor) => self.backends[id as usize].slowdown = factor,
            Change::Hang(id) => self.backends[id as usize].hung = true,
            Change::Resume(id) => self.resume_backend(now, id),
            Change::Republish(id) => {
                let Backend {
                    readiness,
                    started_at: started,
                    ..
                } = self.control.entries[id as usize];
                self.change_entry(id, readiness, started);
            }
            Change::StopProxy(proxy, life) => self.stop_proxy(now, proxy, life),
            Change::StartProxy(proxy) => self.start_proxy(now, proxy),
            Change::Partition(parted) => self.partitioned = parted,
            Change::DiscoveryUp(true) => self.control.discovery.come_back(),
            Change::DiscoveryUp(false) => {
                self.control
                    .discovery
                    .go_down()
                    .into_iter()
                    .for_each(|reply| self.send_reply(reply));
                self.metrics
                    .on_discovery(now, self.control.discovery.traffic);
            }
            Change::MuteWatch(proxy) => self.control.discovery.mute_watch(proxy),
            Change::Surge(number) => self.begin_surge(now, number),
            Change::Shift(shift, true) => self.clients.front.shifts.push(shift),
            Change::Shift(shift, false) => {
                self.clients.front.shifts.retain(|&other| other != shift)
            }
        }
    }

    pub(super) fn stop_backend(&mut self, now: Micros, id: BackendId, life: Life) {
        tracing::trace!(id, now, ?life, "a backend stops");
        let lost = self.backends[id as usize].stop(life);
        self.lose_attempts(lost, life);
        self.change_entry(id, Readiness::Removed, None);
    }

    fn start_backend(&mut self, now: Micros, id: BackendId, life: Life) {
        let backend = &mut self.backends[id as usize];
        if backend.life == life && backend.start(now) {
            self.checker.on_cold_start();
            self.change_entry(id, Readiness::Ready, Some(now));
        }
    }

    fn stop_proxy(&mut self, now: Micros, proxy: ProxyNumber, life: ProxyLife) {
        let target = &mut self.proxies[usize::from(proxy)];
        if target.life != ProxyLife::Up {
            return;
        }
        target.life = life;
        target.incarnation += 1;
        if life == ProxyLife::Dead {
            self.reset_clients_of(now, proxy);
        }
        let notices = seconds(self.scenario.clients.notices_dead_proxy_s);
        self.queue
            .push_after(notices, SimEvent::FrontNotices { proxy });
    }

    /// A proxy's process starts with the list that it held.
    fn start_proxy(&mut self, now: Micros, proxy: ProxyNumber) {
        let seed = self.proxy_seeds.random();
        let target = &mut self.proxies[usize::from(proxy)];
        if target.life == ProxyLife::Up {
            return;
        }
        let settings = Settings {
            proxy_index: u32::from(proxy),
            zone: Zone(target.zone),
            ..self.settings.clone()
        };
        let Ok(policy) = (self.factory)(settings, seed, now) else {
            return;
        };
        (target.life, target.policy) = (ProxyLife::Up, policy);
        target.watcher.restart();
        let list = target.known_list(self.control.discovery.list());
        self.begin_policy(proxy, &list);
        self.queue.push(now, SimEvent::FrontNotices { proxy });
    }

    /// The first news of a process: the list as it was last held.
    pub(super) fn begin_policy(&mut self, proxy: ProxyNumber, list: &[Backend]) {
        self.tell_policy(
            self.queue.now(),
            proxy,
            Event::Membership(MembershipEvent::Cached(list)),
        );
    }

    pub(super) fn on_front_notices(&mut self, proxy: ProxyNumber) {
        let alive = self.proxies[usize::from(proxy)].life == ProxyLife::Up;
        self.clients.front.admit(self.topology, proxy, alive);
    }
}
