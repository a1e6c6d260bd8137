//! The way of an attempt: from its proxy to a backend, through its queue and cores, and back.

use super::super::backend::{Admission, Life};
use super::super::proxy::ProxyLife;
use super::super::request::{Attempt, AttemptState, SentAttempt};
use super::super::scenario::milliseconds;
use super::{SimEvent, Simulation};
use tillerproxy::api::{AttemptEnd, BackendId, Event, Micros, Outcome, RequestId};

impl Simulation<'_> {
    /// A policy sends a request to a backend.
    pub(super) fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        backend: BackendId,
        give_up_at: Micros,
    ) {
        let Some(place) = self.place_of(id) else {
            return self.checker.on_action_after_the_end();
        };
        let request = self.requests[place];
        let proxy = &self.proxies[usize::from(request.proxy)];
        let class = &self.settings.classes[usize::from(request.class)];
        let (machines, known) = (&self.topology.machines, proxy.known[backend as usize]);
        let machine_of = |attempt: &SentAttempt| machines[attempt.backend as usize];
        let to = machines[backend as usize];
        self.checker
            .on_send(now, &request, class, &to, &known, machine_of);
        let (zone, incarnation) = (proxy.zone, proxy.incarnation);
        let work = self.clients.calls[request.call].work;
        let attempt = Attempt {
            request: place,
            proxy: request.proxy,
            incarnation,
            backend,
            number: 0,
            sent_at: now,
            work,
            service: 0,
            outcome: Outcome::NotSent,
            report: [0.0; 3],
            settled: false,
            lost: false,
        };
        let attempt = self.attempts.insert(attempt, 2);
        let sent = SentAttempt {
            backend,
            sent_at: now,
            state: AttemptState::Out,
            place: attempt,
        };
        self.requests.retain(place);
        let Some(number) = self.requests[place].add_attempt(sent) else {
            self.attempts.release(attempt);
            return self.release_attempt(attempt);
        };
        self.attempts[attempt].number = number;
        self.metrics.attempts.attempts += 1;
        self.metrics.attempts.cross_zone += u64::from(zone != to.zone);
        if self.is_parted(zone, to.zone) {
            self.fail_connect_later(attempt);
        } else {
            let way = self.latencies.draw(zone, to.zone);
            self.queue
                .push_after(way, SimEvent::ReachBackend { attempt });
        }
        self.queue
            .push(give_up_at, SimEvent::AttemptTimeout { attempt });
    }

    fn is_parted(&self, from: u16, to: u16) -> bool {
        self.partitioned && self.topology.region(from) != self.topology.region(to)
    }

    /// Nothing answers: the connection is given up after the dial timeout. Takes over a reference.
    fn fail_connect_later(&mut self, attempt: u32) {
        self.attempts[attempt].outcome = Outcome::ConnectFailed;
        let dial = milliseconds(self.scenario.network.dial_timeout_ms);
        self.queue.push_after(dial, SimEvent::ReachBack { attempt });
    }

    /// Sends an outcome back. Takes over a reference.
    fn send_back(&mut self, place: u32, outcome: Outcome) {
        let Attempt { proxy, backend, .. } = self.attempts[place];
        let report = self.backends[backend as usize].report();
        let attempt = &mut self.attempts[place];
        (attempt.outcome, attempt.report) = (outcome, report);
        let from = self.topology.machines[backend as usize].zone;
        let to = self.proxies[usize::from(proxy)].zone;
        let way = self.latencies.draw(from, to);
        self.queue
            .push_after(way, SimEvent::ReachBack { attempt: place });
    }

    pub(super) fn on_reach_backend(&mut self, now: Micros, place: u32) {
        let Attempt {
            backend,
            work,
            proxy,
            ..
        } = self.attempts[place];
        if self.is_abandoned(place) && self.scenario.backends.skips_abandoned {
            return self.release_attempt(place);
        }
        let known = self.proxies[usize::from(proxy)].known[backend as usize];
        let target = &mut self.backends[backend as usize];
        let informed = target.started.is_some() && known.started == target.started;
        let fall = target.weigh(now, work, informed, &self.cold);
        let admission = target.arrive(now, place, work, &self.cold);
        match admission {
            Admission::Started(service) => self.schedule_end(place, service),
            Admission::Queued => {}
            Admission::Full => self.send_back(place, Outcome::Rejected),
            Admission::Refused => self.send_back(place, Outcome::ConnectFailed),
            Admission::Unreachable => self.fail_connect_later(place),
        }
        if let Some(fall) = fall {
            self.checker.on_fall(&fall);
            self.backends[backend as usize].fallen = true;
            self.stop_backend(now, backend, Life::Dead);
        }
    }

    /// A core has begun with an attempt that its backend holds.
    fn schedule_end(&mut self, attempt: u32, service: Micros) {
        self.attempts[attempt].service = service;
        self.attempts.retain(attempt);
        self.queue
            .push_after(service, SimEvent::WorkDone { attempt });
    }

    pub(super) fn on_work_done(&mut self, now: Micros, place: u32) {
        let Attempt {
            backend,
            service,
            lost,
            ..
        } = self.attempts[place];
        if !lost && self.backends[backend as usize].finish(place, service) {
            self.send_back(place, Outcome::Ok);
            self.begin_waiting(now, backend);
        }
        self.release_attempt(place);
    }

    /// Begins what waits at a backend while it has free cores.
    pub(super) fn begin_waiting(&mut self, now: Micros, backend: BackendId) {
        while let Some(place) = self.backends[backend as usize].next_waiting() {
            if self.is_abandoned(place) && self.scenario.backends.skips_abandoned {
                self.release_attempt(place);
                continue;
            }
            let work = self.attempts[place].work;
            let service = self.backends[backend as usize].begin(now, place, work, &self.cold);
            self.schedule_end(place, service);
        }
    }

    /// Whether nobody waits for an attempt any more: its proxy gave it up or died.
    fn is_abandoned(&self, place: u32) -> bool {
        let attempt = &self.attempts[place];
        attempt.settled
            || self.proxies[usize::from(attempt.proxy)].incarnation != attempt.incarnation
    }

    /// A backend answers again: what it had finished while it hung goes out.
    pub(super) fn resume_backend(&mut self, now: Micros, backend: BackendId) {
        for place in self.backends[backend as usize].resume() {
            self.send_back(place, Outcome::Ok);
        }
        self.begin_waiting(now, backend);
    }

    /// A backend's attempts end with its process: reset where the machine tells so, else without a word.
    pub(super) fn lose_attempts(&mut self, lost: Vec<u32>, life: Life) {
        for place in lost {
            self.attempts[place].lost = true;
            if life == Life::Dead {
                self.send_back(place, Outcome::Reset);
            } else {
                self.release_attempt(place);
            }
        }
    }

    pub(super) fn on_reach_back(&mut self, now: Micros, place: u32) {
        let Attempt {
            proxy,
            backend,
            outcome,
            ..
        } = self.attempts[place];
        let from = self.topology.machines[backend as usize].zone;
        let cut = self.is_parted(from, self.proxies[usize::from(proxy)].zone);
        if !cut || outcome == Outcome::ConnectFailed {
            self.settle(now, place, outcome);
        }
        self.release_attempt(place);
    }

    pub(super) fn on_attempt_timeout(&mut self, now: Micros, place: u32) {
        self.settle(now, place, Outcome::Timeout);
        self.release_attempt(place);
    }

    /// A policy withdraws an attempt; its outcome comes with the next events of this time.
    pub(super) fn cancel(&mut self, now: Micros, id: RequestId, number: u16) {
        let Some(request) = self.place_of(id) else {
            return;
        };
        let Some(sent) = self.requests[request].attempts().get(usize::from(number)) else {
            return;
        };
        let attempt = sent.place;
        if sent.state == AttemptState::Out {
            self.attempts.retain(attempt);
            self.attempts[attempt].outcome = Outcome::Cancelled;
            self.queue.push(now, SimEvent::ReachBack { attempt });
        }
    }

    /// An attempt's one outcome reaches its proxy, if that still lives.
    fn settle(&mut self, now: Micros, place: u32, outcome: Outcome) {
        let attempt = self.attempts[place];
        if attempt.settled {
            return;
        }
        self.attempts[place].settled = true;
        let proxy = &self.proxies[usize::from(attempt.proxy)];
        if proxy.life != ProxyLife::Up || proxy.incarnation != attempt.incarnation {
            return;
        }
        self.count(outcome);
        let request = &mut self.requests[attempt.request];
        let never_ran = outcome.is_not_executed();
        request.attempts_mut()[usize::from(attempt.number)].state = if never_ran {
            AttemptState::NeverRan
        } else {
            AttemptState::MayHaveRun
        };
        if outcome == Outcome::Ok && !request.answered && !request.client_gone {
            self.serve(now, attempt.request);
        }
        let request = &self.requests[attempt.request];
        let with_report = self.scenario.backends.load_reports && outcome == Outcome::Ok;
        let settled = AttemptEnd {
            request: request.id,
            backend: attempt.backend,
            attempt: attempt.number,
            outcome,
            request_answered: request.answered || request.client_gone,
            elapsed: now - attempt.sent_at,
            load_report: if with_report { &attempt.report } else { &[] },
            body_consumed: false,
        };
        self.tell_policy(now, attempt.proxy, Event::AttemptEnded(settled));
    }

    fn count(&mut self, outcome: Outcome) {
        let counts = &mut self.metrics.attempts;
        match outcome {
            Outcome::Rejected => counts.full += 1,
            Outcome::Timeout => counts.timeouts += 1,
            Outcome::ConnectFailed => counts.connect_failures += 1,
            Outcome::Reset => counts.resets += 1,
            _ => {}
        }
    }
}
