//! Attempts in the simulation: from a proxy to a backend, through the backend's queue and cores, and back.

use super::{Simulation, SimulationEvent};
use crate::fleet::backend::{Admission, LoadReport};
use crate::fleet::process::ProcessState;
use crate::fleet::request::{Attempt, AttemptKey, AttemptState, RequestKey, SentAttempt};
use crate::fleet::rules::PendingSend;
use crate::units::micros_from_milliseconds;
use tillerproxy::api::{AttemptEnd, BackendId, Event, Micros, Outcome, RequestId};

impl Simulation<'_> {
    /// Starts an attempt: sends a request to a backend, and times the attempt out at `deadline`.
    pub(super) fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        backend: BackendId,
        deadline: Micros,
    ) {
        let Some(request) = self.request_key(id) else {
            self.checker.on_action_after_end();
            return;
        };
        self.check_send(now, request, backend);
        let Some(attempt) = self.add_attempt(now, request, backend) else {
            return;
        };
        let from = self.proxies[self.attempts[attempt].proxy.index()].zone;
        let to = self.topology.machines[backend.index()].zone;
        self.metrics.attempts.proxy_attempts += 1;
        self.metrics.attempts.cross_zone += u64::from(from != to);
        if self.is_partitioned(from, to) {
            self.time_out_connect(attempt);
        } else {
            let latency = self.latencies.draw(from, to);
            let event = SimulationEvent::AttemptReachesBackend { attempt };
            self.queue.push_after(latency, event);
        }
        let timeout = SimulationEvent::AttemptTimeout { attempt };
        self.queue.push(deadline, timeout);
    }

    /// Checks an attempt that is about to be sent against the safety rules.
    fn check_send(&mut self, now: Micros, request: RequestKey, backend: BackendId) {
        let request = &self.requests[request];
        let machines = &self.topology.machines;
        let send = PendingSend {
            now,
            request,
            class: &self.settings.classes[request.class.index()],
            target: &machines[backend.index()],
            known_backend: &self.proxies[request.proxy.index()].known_backends[backend.index()],
        };
        self.checker
            .on_send(send, |attempt| machines[attempt.backend.index()]);
    }

    /// Adds an attempt to a request and returns its key; `None` if the request already has as many attempts as can be
    /// tracked.
    fn add_attempt(
        &mut self,
        now: Micros,
        request: RequestKey,
        backend: BackendId,
    ) -> Option<AttemptKey> {
        let tracked = &self.requests[request];
        let attempt = Attempt {
            request,
            proxy: tracked.proxy,
            incarnation: self.proxies[tracked.proxy.index()].incarnation,
            backend,
            number: 0,
            sent_at: now,
            work: self.clients.calls[tracked.call].work,
            service_time: 0,
            outcome: Outcome::NotSent,
            load_report: LoadReport::default(),
            ended: false,
            lost: false,
        };
        // Two pending events refer to the attempt: its arrival at the backend and its timeout.
        let key = self.attempts.insert(attempt, 2);
        self.requests.retain(request);
        let sent = SentAttempt {
            backend,
            sent_at: now,
            state: AttemptState::InFlight,
            key,
        };
        let Some(number) = self.requests[request].add_attempt(sent) else {
            self.attempts.release(key);
            self.release_attempt(key);
            return None;
        };
        self.attempts[key].number = number;
        Some(key)
    }

    /// Fails an attempt whose connection is not established within the connect timeout. Takes over one reference to
    /// the attempt.
    fn time_out_connect(&mut self, attempt: AttemptKey) {
        self.attempts[attempt].outcome = Outcome::ConnectFailed;
        let connect_timeout = micros_from_milliseconds(self.scenario.network.connect_timeout_ms);
        let event = SimulationEvent::OutcomeReachesProxy { attempt };
        self.queue.push_after(connect_timeout, event);
    }

    /// Sends the outcome of an attempt and the backend's load report to the proxy. Takes over one reference to the
    /// attempt.
    fn send_outcome(&mut self, key: AttemptKey, outcome: Outcome) {
        let attempt = &mut self.attempts[key];
        let backend = attempt.backend.index();
        attempt.outcome = outcome;
        attempt.load_report = self.backends[backend].load_report();
        let from = self.topology.machines[backend].zone;
        let to = self.proxies[attempt.proxy.index()].zone;
        let latency = self.latencies.draw(from, to);
        let event = SimulationEvent::OutcomeReachesProxy { attempt: key };
        self.queue.push_after(latency, event);
    }

    /// Delivers an attempt to its backend, and stops the backend if the load makes it collapse in its slow start.
    pub(super) fn on_attempt_reaches_backend(&mut self, now: Micros, key: AttemptKey) {
        if self.is_skipped(key) {
            self.release_attempt(key);
            return;
        }
        let Attempt {
            backend,
            work,
            proxy,
            ..
        } = self.attempts[key];
        let known_backend = &self.proxies[proxy.index()].known_backends[backend.index()];
        let target = &mut self.backends[backend.index()];
        let informed = target.started_at.is_some() && known_backend.started_at == target.started_at;
        let collapse = target.add_slow_start_load(now, work, informed, &self.slow_start);
        match target.admit(now, key, work, &self.slow_start) {
            Admission::Started(service_time) => self.schedule_end_of_work(key, service_time),
            Admission::Queued => {}
            Admission::QueueFull => self.send_outcome(key, Outcome::Rejected),
            Admission::ConnectionRefused => self.send_outcome(key, Outcome::ConnectFailed),
            Admission::Unreachable => self.time_out_connect(key),
        }
        if let Some(collapse) = collapse {
            self.checker.on_collapse(&collapse);
            self.backends[backend.index()].collapsed = true;
            self.stop_backend(now, backend, ProcessState::Crashed);
        }
    }

    /// Schedules the end of the work that a core has started on an attempt.
    fn schedule_end_of_work(&mut self, attempt: AttemptKey, service_time: Micros) {
        self.attempts[attempt].service_time = service_time;
        self.attempts.retain(attempt);
        let event = SimulationEvent::WorkFinishes { attempt };
        self.queue.push_after(service_time, event);
    }

    /// Sends the response to an attempt and starts the next one, unless the backend hangs or has stopped.
    pub(super) fn on_work_finishes(&mut self, now: Micros, key: AttemptKey) {
        let Attempt {
            backend,
            service_time,
            lost,
            ..
        } = self.attempts[key];
        if !lost && self.backends[backend.index()].finish_work(key, service_time) {
            self.send_outcome(key, Outcome::Ok);
            self.start_queued(now, backend);
        }
        self.release_attempt(key);
    }

    /// Starts the work on queued attempts of a backend while the backend has free cores.
    fn start_queued(&mut self, now: Micros, backend: BackendId) {
        while let Some(key) = self.backends[backend.index()].next_queued() {
            if self.is_skipped(key) {
                self.release_attempt(key);
                continue;
            }
            let work = self.attempts[key].work;
            let target = &mut self.backends[backend.index()];
            let service_time = target.start_work(now, key, work, &self.slow_start);
            self.schedule_end_of_work(key, service_time);
        }
    }

    /// Returns whether a backend skips an attempt because its proxy has abandoned the attempt or has stopped.
    fn is_skipped(&self, key: AttemptKey) -> bool {
        let attempt = &self.attempts[key];
        let proxy = &self.proxies[attempt.proxy.index()];
        let abandoned = attempt.ended || proxy.incarnation != attempt.incarnation;
        abandoned && self.scenario.backends.skips_abandoned
    }

    /// Resumes a hung backend: sends the responses to attempts whose work ended during the hang, and starts
    /// queued ones.
    pub(super) fn resume_backend(&mut self, now: Micros, backend: BackendId) {
        for key in self.backends[backend.index()].resume() {
            self.send_outcome(key, Outcome::Ok);
        }
        self.start_queued(now, backend);
    }

    /// Ends the attempts that a stopped backend held. A crashed process resets their connections; an unreachable
    /// machine leaves them to their timeouts.
    pub(super) fn end_lost_attempts(&mut self, lost: Vec<AttemptKey>, state: ProcessState) {
        for key in lost {
            self.attempts[key].lost = true;
            if state == ProcessState::Crashed {
                self.send_outcome(key, Outcome::Reset);
            } else {
                self.release_attempt(key);
            }
        }
    }

    /// Ends an attempt with the outcome that has reached its proxy, unless a partition drops the message.
    pub(super) fn on_outcome_reaches_proxy(&mut self, now: Micros, key: AttemptKey) {
        let Attempt {
            proxy,
            backend,
            outcome,
            ..
        } = self.attempts[key];
        let from = self.topology.machines[backend.index()].zone;
        let to = self.proxies[proxy.index()].zone;
        // A failed connection is detected by the proxy itself: a partition does not hide it.
        if outcome == Outcome::ConnectFailed || !self.is_partitioned(from, to) {
            self.end_attempt(now, key, outcome);
        }
        self.release_attempt(key);
    }

    /// Ends an attempt that has no outcome at its deadline.
    pub(super) fn on_attempt_timeout(&mut self, now: Micros, key: AttemptKey) {
        self.end_attempt(now, key, Outcome::Timeout);
        self.release_attempt(key);
    }

    /// Cancels an attempt that is in flight. The policy receives the outcome as a separate event of the same time.
    pub(super) fn cancel(&mut self, now: Micros, id: RequestId, number: u16) {
        let Some(request) = self.request_key(id) else {
            return;
        };
        let attempts = self.requests[request].attempts();
        let Some(&sent) = attempts.get(usize::from(number)) else {
            return;
        };
        if sent.state == AttemptState::InFlight {
            self.attempts.retain(sent.key);
            self.attempts[sent.key].outcome = Outcome::Cancelled;
            let event = SimulationEvent::OutcomeReachesProxy { attempt: sent.key };
            self.queue.push(now, event);
        }
    }

    /// Ends an attempt with its outcome and notifies the policy, if the process that sent it still runs. Later outcomes
    /// of the same attempt are ignored.
    fn end_attempt(&mut self, now: Micros, key: AttemptKey, outcome: Outcome) {
        let attempt = self.attempts[key];
        if attempt.ended {
            return;
        }
        self.attempts[key].ended = true;
        let proxy = &self.proxies[attempt.proxy.index()];
        if !proxy.is_running() || proxy.incarnation != attempt.incarnation {
            return;
        }
        self.count_outcome(outcome);
        let request = &mut self.requests[attempt.request];
        request.attempts_mut()[usize::from(attempt.number)].state = state_after(outcome);
        if outcome == Outcome::Ok && request.is_pending() {
            self.send_response_to_client(now, attempt.request);
        }
        let request = &self.requests[attempt.request];
        let carries_report = self.scenario.backends.load_reports && outcome == Outcome::Ok;
        let end = AttemptEnd {
            request: request.id,
            backend: attempt.backend,
            attempt: attempt.number,
            outcome,
            request_answered: !request.is_pending(),
            elapsed: now - attempt.sent_at,
            load_report: if carries_report {
                &attempt.load_report
            } else {
                &[]
            },
            body_consumed: false,
        };
        self.notify_policy(now, attempt.proxy, Event::AttemptEnded(end));
    }

    fn count_outcome(&mut self, outcome: Outcome) {
        let counts = &mut self.metrics.attempts;
        match outcome {
            Outcome::Rejected => counts.rejected += 1,
            Outcome::Timeout => counts.timeouts += 1,
            Outcome::ConnectFailed => counts.connect_failures += 1,
            Outcome::Reset => counts.resets += 1,
            _ => {}
        }
    }
}

/// Returns what a proxy knows of the execution of an attempt with this outcome.
fn state_after(outcome: Outcome) -> AttemptState {
    if outcome.proves_not_executed() {
        AttemptState::NotExecuted
    } else {
        AttemptState::MaybeExecuted
    }
}
