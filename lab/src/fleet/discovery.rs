//! The discovery that all proxies share: revisions of the list, watches, and calls that wait for their turn.
//!
//! Whole lists and calls that begin a watch are handled one after another; a watch that is continued stands
//! at once. What is published goes to every standing watch. The simulation carries calls here and answers
//! back.

use super::scenario::{self, milliseconds};
use std::collections::VecDeque;
use std::sync::Arc;
use tillerproxy::api::{Backend, Micros};

/// A proxy's number.
pub type ProxyNumber = u16;

/// A version of the list; each changed entry raises it by one.
pub type Revision = u64;

/// A call as it reaches discovery.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Who calls.
    pub proxy: ProxyNumber,
    /// Which of the proxy's calls it is: an answer to an earlier one is not taken.
    pub serial: u32,
    /// The revision that the proxy holds; `None` asks for the whole list.
    pub after: Option<Revision>,
    /// How long the watch may wait for changes.
    pub wait: Micros,
    /// It continues a watch and waits for no turn.
    pub continues: bool,
}

/// What discovery sends back.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Entries, perhaps none.
    List {
        /// Their revision.
        revision: Revision,
        /// Whether they are the whole list.
        complete: bool,
        /// The entries.
        entries: Arc<[Backend]>,
    },
    /// The call failed.
    Failed,
}

/// An answer on its way to a proxy.
#[derive(Clone, Debug)]
pub struct Reply {
    /// To whom.
    pub proxy: ProxyNumber,
    /// Which call it answers.
    pub serial: u32,
    /// The answer.
    pub answer: Answer,
}

/// What becomes of a call that has just come.
#[derive(Debug)]
pub enum Received {
    /// It is answered at once.
    Answered(Reply),
    /// It stands until something is published, or until its wait is over.
    Standing,
    /// It waits for its turn.
    Waiting,
}

/// A watch that stands.
#[derive(Clone, Copy, Debug)]
struct Watch {
    serial: u32,
    after: Revision,
    /// Nothing is ever answered on it.
    unresponsive: bool,
    /// Its answer waits for its turn.
    has_turn: bool,
}

/// What waits for its turn.
#[derive(Debug)]
enum Turn {
    Call { call: Call, arrived: Micros },
    Watch { proxy: ProxyNumber, serial: u32 },
}

/// Calls and bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Calls that came.
    pub calls: u64,
    /// Calls that failed.
    pub failures: u64,
    /// Whole lists sent.
    pub lists: u64,
    /// Entries sent.
    pub entries: u64,
    /// Bytes of calls and answers.
    pub bytes: u64,
}

/// The discovery service.
#[derive(Debug)]
pub struct Discovery {
    list: Vec<Backend>,
    revision: Revision,
    /// The entry that each revision changed, the latest last.
    changes: VecDeque<u32>,
    history: usize,
    /// Changes that it has noticed and not published.
    noticed: Vec<Backend>,
    watches: Vec<Option<Watch>>,
    turns: VecDeque<Turn>,
    up: bool,
    /// Time that a call that waits for its turn takes, microseconds.
    call_time: f64,
    /// Time that an answer of a standing watch takes, microseconds.
    answer_time: f64,
    longest_turn: Micros,
    entry_bytes: u64,
    call_bytes: u64,
    /// The latest delta, which most watches share.
    latest_delta: Option<(Revision, Arc<[Backend]>)>,
    latest_list: Option<(Revision, Arc<[Backend]>)>,
    /// All calls and answers so far.
    pub traffic: Traffic,
}

impl Discovery {
    /// A discovery that lists `list` as revision 1, for so many proxies.
    #[must_use]
    pub fn new(settings: &scenario::Discovery, list: Vec<Backend>, proxies: usize) -> Self {
        Self {
            list,
            revision: 1,
            changes: VecDeque::new(),
            history: settings.history,
            noticed: Vec::new(),
            watches: vec![None; proxies],
            turns: VecDeque::new(),
            up: true,
            call_time: 1e6 / settings.calls_per_s,
            answer_time: settings.answers_per_s.map_or(0.0, |rate| 1e6 / rate),
            longest_turn: milliseconds(settings.longest_turn_ms),
            entry_bytes: u64::from(settings.entry_bytes),
            call_bytes: u64::from(settings.call_bytes),
            latest_delta: None,
            latest_list: None,
            traffic: Traffic::default(),
        }
    }

    /// The present revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The list as published.
    #[must_use]
    pub fn list(&self) -> &[Backend] {
        &self.list
    }

    /// Whether it answers calls.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Time that the next turn takes, if something waits for it.
    #[must_use]
    pub fn next_turn_takes(&self) -> Option<Micros> {
        self.turns.front().map(|turn| match turn {
            Turn::Call { .. } => self.call_time as Micros,
            Turn::Watch { .. } => self.answer_time as Micros,
        })
    }

    /// A call comes in.
    pub fn receive(&mut self, now: Micros, call: Call) -> Received {
        self.traffic.calls += 1;
        self.traffic.bytes += self.call_bytes;
        self.watches[usize::from(call.proxy)] = None;
        if !self.up {
            return Received::Answered(self.failure(call.proxy, call.serial));
        }
        match call.after {
            Some(after) if call.continues => self.watch(call, after),
            _ => {
                self.turns.push_back(Turn::Call { call, arrived: now });
                Received::Waiting
            }
        }
    }

    /// Answers a call with what is newer than it holds, or lets it stand.
    fn watch(&mut self, call: Call, after: Revision) -> Received {
        if after != self.revision {
            return Received::Answered(self.answer(call.proxy, call.serial, Some(after)));
        }
        let watch = Watch {
            serial: call.serial,
            after,
            unresponsive: false,
            has_turn: false,
        };
        self.watches[usize::from(call.proxy)] = Some(watch);
        Received::Standing
    }

    /// Handles what waits for its turn next. A call that begins a watch and finds nothing newer stands; its
    /// wait is returned so that the simulation ends it.
    pub fn take_turn(&mut self, now: Micros) -> Option<(Received, Call)> {
        match self.turns.pop_front()? {
            Turn::Watch { proxy, serial } => {
                let reply = self.answer_watch(proxy, serial)?;
                let call = Call {
                    proxy,
                    serial,
                    after: None,
                    wait: 0,
                    continues: true,
                };
                Some((Received::Answered(reply), call))
            }
            Turn::Call { call, arrived } => {
                let received = if now > arrived + self.longest_turn {
                    Received::Answered(self.failure(call.proxy, call.serial))
                } else {
                    match call.after {
                        None => Received::Answered(self.answer(call.proxy, call.serial, None)),
                        Some(after) => self.watch(call, after),
                    }
                };
                Some((received, call))
            }
        }
    }

    /// A watch's wait is over: it ends without entries if it still stands.
    pub fn end_wait(&mut self, proxy: ProxyNumber, serial: u32) -> Option<Reply> {
        self.answer_watch(proxy, serial)
    }

    /// Answers a standing watch with what is newer than it holds.
    fn answer_watch(&mut self, proxy: ProxyNumber, serial: u32) -> Option<Reply> {
        let watch = &mut self.watches[usize::from(proxy)];
        let after = watch
            .filter(|watch| watch.serial == serial && !watch.unresponsive)?
            .after;
        *watch = None;
        Some(self.answer(proxy, serial, Some(after)))
    }

    fn failure(&mut self, proxy: ProxyNumber, serial: u32) -> Reply {
        self.traffic.failures += 1;
        self.traffic.bytes += self.call_bytes;
        Reply {
            proxy,
            serial,
            answer: Answer::Failed,
        }
    }

    /// The entries that changed after a revision, or the whole list where that is too long ago.
    fn answer(&mut self, proxy: ProxyNumber, serial: u32, after: Option<Revision>) -> Reply {
        let oldest = self.revision - self.changes.len() as Revision;
        let delta = after.filter(|&after| (oldest..=self.revision).contains(&after));
        let (complete, entries) = match delta {
            Some(after) => (false, self.delta(after)),
            None => (true, self.whole_list()),
        };
        self.traffic.lists += u64::from(complete);
        self.traffic.entries += entries.len() as u64;
        self.traffic.bytes += self.call_bytes + self.entry_bytes * entries.len() as u64;
        Reply {
            proxy,
            serial,
            answer: Answer::List {
                revision: self.revision,
                complete,
                entries,
            },
        }
    }

    fn delta(&mut self, after: Revision) -> Arc<[Backend]> {
        if let Some((known_after, entries)) = &self.latest_delta
            && *known_after == after
        {
            return entries.clone();
        }
        let skipped = self.changes.len() - (self.revision - after) as usize;
        let mut changed: Vec<u32> = self.changes.iter().skip(skipped).copied().collect();
        changed.sort_unstable();
        changed.dedup();
        let entries: Arc<[Backend]> = changed.iter().map(|&id| self.list[id as usize]).collect();
        self.latest_delta = Some((after, entries.clone()));
        entries
    }

    fn whole_list(&mut self) -> Arc<[Backend]> {
        if let Some((revision, entries)) = &self.latest_list
            && *revision == self.revision
        {
            return entries.clone();
        }
        let listed = |backend: &&Backend| backend.readiness != tillerproxy::api::Readiness::Removed;
        let entries: Arc<[Backend]> = self.list.iter().filter(listed).copied().collect();
        self.latest_list = Some((self.revision, entries.clone()));
        entries
    }

    /// It has noticed a change; returns whether it is the first one that is not published.
    pub fn notice(&mut self, backend: Backend) -> bool {
        self.noticed.push(backend);
        self.noticed.len() == 1
    }

    /// Publishes what it has noticed. Returns the replies to the standing watches; where answers take turns
    /// they wait for these instead.
    pub fn publish(&mut self) -> Vec<Reply> {
        for backend in std::mem::take(&mut self.noticed) {
            self.list[backend.id as usize] = backend;
            self.revision += 1;
            self.changes.push_back(backend.id);
        }
        let excess = self.changes.len().saturating_sub(self.history);
        self.changes.drain(..excess);
        self.latest_delta = None;
        if !self.up {
            return Vec::new();
        }
        if self.answer_time > 0.0 {
            self.give_turns();
            return Vec::new();
        }
        let standing: Vec<(ProxyNumber, u32)> = self.standing().collect();
        standing
            .into_iter()
            .filter_map(|(proxy, serial)| self.answer_watch(proxy, serial))
            .collect()
    }

    /// The answers of all standing watches wait for their turn, once each.
    fn give_turns(&mut self) {
        for (proxy, watch) in (0..).zip(&mut self.watches) {
            let Some(watch) = watch
                .as_mut()
                .filter(|watch| !watch.has_turn && !watch.unresponsive)
            else {
                continue;
            };
            watch.has_turn = true;
            self.turns.push_back(Turn::Watch {
                proxy,
                serial: watch.serial,
            });
        }
    }

    fn standing(&self) -> impl Iterator<Item = (ProxyNumber, u32)> + '_ {
        (0..)
            .zip(&self.watches)
            .filter_map(|(proxy, watch)| watch.map(|watch| (proxy, watch.serial)))
    }

    /// It goes down: watches end, and calls that wait for their turn fail.
    pub fn go_down(&mut self) -> Vec<Reply> {
        self.up = false;
        let waiting = self.turns.drain(..).filter_map(|turn| match turn {
            Turn::Call { call, .. } => Some((call.proxy, call.serial)),
            Turn::Watch { .. } => None,
        });
        let mut ended: Vec<(ProxyNumber, u32)> = waiting.collect();
        ended.extend(self.standing());
        self.watches.fill(None);
        ended
            .into_iter()
            .map(|(proxy, serial)| self.failure(proxy, serial))
            .collect()
    }

    /// It answers calls again.
    pub fn come_back(&mut self) {
        self.up = true;
    }

    /// The proxy's watch becomes unresponsive: nothing is answered on it any more.
    pub fn mute_watch(&mut self, proxy: ProxyNumber) {
        if let Some(watch) = &mut self.watches[usize::from(proxy)] {
            watch.unresponsive = true;
        }
    }
}
