//! Attempts: their start, their end, and what the end says of the backend.

use super::Balancer;
use crate::api::{Action, AttemptEnd, Micros, Outcome, RequestId};
use crate::state::{Attempt, AttemptState, Stamped};

/// A bad sample (an error, say), and the most that any sample counts, as multiples of Lmax.
const BAD_SAMPLE: f64 = 2.0;
pub(super) const SAMPLE_CAP: f64 = 3.0;
/// Growth of the uncrowded latency's estimate a second, so that it follows a fleet that got slower.
const BASE_DRIFT: f64 = 0.01;
/// Weight of one more latency in the averages of a class.
pub(super) const LATENCY_WEIGHT: f64 = 1.0 / 16.0;
/// Weight of one more outcome in a server's failure share, and the share at which it is ejected.
const FAILURE_WEIGHT: f64 = 0.25;
/// Factors on that weight. A server that takes no connection is down; one connection that broke may have been
/// broken by anybody on the way.
const REFUSED_WEIGHT: f64 = 2.0;
const BROKEN_WEIGHT: f64 = 0.5;

impl Balancer {
    /// The only place where an attempt starts. `pick` has made sure that the server may have it.
    pub(super) fn send(&mut self, now: Micros, slot: usize, index: usize, out: &mut Vec<Action>) {
        self.dequeue(slot);
        let connection_idle = self.connection(now, index, out);
        self.refill_cold(now, index);
        let slots = self.slots(index, self.pool.limit_factor);
        let class = self.open[slot].class;
        let overdue = self.overdue(class);
        let overdue_at = now
            + if self.is_quick(class) {
                overdue
            } else {
                self.settings.classes[class].timeout
            };
        let server = &mut self.servers[index];
        if let Some(cold) = &mut server.cold {
            cold.tokens -= 1.0;
            if now
                >= cold
                    .started
                    .saturating_add(self.settings.safety.slow_start_duration)
            {
                server.cold = None;
            }
        }
        if server.in_flight == 0 {
            server.unanswered_since = now;
        }
        let trial = server.ejected_until.is_some() || server.is_unresponsive(now, overdue);
        server.trial_in_flight |= trial;
        server.overdue_at.push(overdue_at);
        server.in_flight += 1;
        self.in_flight += 1;
        server.window.filled |= i64::from(server.in_flight) * 4 >= slots * 3;
        let (give_up_at, early) = self.give_up_at(now, &self.open[slot]);
        let write_by = self.window_end(&self.open[slot]);
        let attempt = Attempt {
            connection_idle,
            early,
            overdue_at,
            trial,
            ..Attempt::new(index, now)
        };
        let open = &mut self.open[slot];
        open.attempts.push(attempt);
        self.servers[index].references += 1;
        let (request, backend) = (open.id, self.servers[index].id);
        out.push(Action::Send {
            request,
            backend,
            deadline: give_up_at,
            write_deadline: write_by,
        });
        self.reindex(now, index);
    }

    /// Departure: where an answer flows through, its server's work is done and its latency known when it
    /// begins. How long a client takes to read it must neither hold the slot nor count as crowding.
    pub(super) fn on_first_byte(
        &mut self,
        now: Micros,
        request: RequestId,
        number: u16,
        elapsed: Micros,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.open.find(request) else {
            return;
        };
        let open = &mut self.open[slot];
        let Some(attempt) = open.attempts.get_mut(usize::from(number)) else {
            return;
        };
        if attempt.state != AttemptState::Out || attempt.answer_began {
            return;
        }
        let to = *attempt;
        (attempt.answer_began, open.streaming) = (true, true);
        let (class, outcome, backend) = (open.class, Outcome::Ok, self.servers[to.server].id);
        let (closed, report, spent) = (true, [].as_slice(), false);
        let begun = AttemptEnd {
            request,
            backend,
            attempt: number,
            outcome,
            request_answered: closed,
            elapsed,
            load_report: report,
            body_consumed: spent,
        };
        self.observe(now, class, to, &begun, out);
        self.reindex(now, to.server);
        self.serve_queue(now, out);
    }

    pub(super) fn on_settled(
        &mut self,
        now: Micros,
        settled: AttemptEnd<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.open.find(settled.request) else {
            return;
        };
        let open = &mut self.open[slot];
        let Some(attempt) = open.attempts.get_mut(usize::from(settled.attempt)) else {
            return;
        };
        if attempt.state != AttemptState::Out {
            return;
        }
        let never_ran = settled.outcome.is_not_executed();
        attempt.state = if never_ran {
            AttemptState::NeverRan
        } else {
            AttemptState::MayHaveRun
        };
        let (attempt, class) = (*attempt, open.class);
        open.spent |= settled.body_consumed;
        if !attempt.answer_began {
            self.observe(now, class, attempt, &settled, out);
        } else if settled.outcome == Outcome::Ok {
            self.follow_report(now, attempt.server, settled.load_report);
        }
        self.reindex(now, attempt.server);
        if settled.request_answered || self.open[slot].answered {
            self.close(slot);
        } else {
            self.retry(now, slot, never_ran, out);
        }
        self.serve_queue(now, out);
    }

    /// What an outcome tells of its server.
    pub(super) fn observe(
        &mut self,
        now: Micros,
        class: usize,
        to: Attempt,
        end: &AttemptEnd<'_>,
        out: &mut Vec<Action>,
    ) {
        let index = to.server;
        let kinds = self.kinds.len();
        let server = &mut self.servers[index];
        let kind = server.kind.index();
        let latency = &mut self.latencies[class * kinds + kind];
        let known = latency.base < f64::MAX || self.pool.limit_factor > 1.0;
        let elapsed = end.elapsed as f64;
        server.ended(to.overdue_at);
        server.trial_in_flight &= !to.trial;
        self.in_flight = self.in_flight.saturating_sub(1);
        let unresponsive = server.unanswered_since <= to.sent_at;
        if end.outcome == Outcome::NotSent {
            return;
        }
        let aim = self.settings.classes[class].latency_objective as f64;
        let lmax = latency.lmax(aim);
        let multiplex = self.settings.permissions.requests_per_connection.max(1);
        if let Some(at) = server
            .connections_used_at
            .get_mut((server.in_flight / multiplex) as usize)
        {
            *at = now;
        }
        // Departure: a failure is a bad sample however quick it was, so that quick errors can't raise a
        // limit.
        let sample = match end.outcome {
            Outcome::Ok => elapsed / lmax,
            _ => (elapsed / lmax).max(BAD_SAMPLE),
        };
        let failed = match end.outcome {
            Outcome::Ok => {
                latency.add(elapsed, now, LATENCY_WEIGHT, BASE_DRIFT);
                self.served.add(now);
                server.unanswered_since = now;
                server.answered = server.answered.max(to.sent_at);
                // What a cold server answers in good time it can do: the token of that send comes back.
                let in_time = latency.base < f64::MAX && elapsed <= lmax;
                let cold = server
                    .cold
                    .as_mut()
                    .filter(|cold| in_time && cold.started <= to.sent_at);
                cold.into_iter().for_each(|cold| cold.tokens += 1.0);
                false
            }
            // A server that answered others meanwhile is not hung; the request was heavy.
            Outcome::Timeout | Outcome::Cancelled => unresponsive,
            Outcome::Error | Outcome::CorruptResponse | Outcome::ConnectFailed | Outcome::Reset => {
                true
            }
            Outcome::Rejected => {
                server.full_until = now + latency.mean as Micros;
                false
            }
            Outcome::NotSent => false,
        };
        let lost = matches!(end.outcome, Outcome::Timeout | Outcome::Reset) && failed;
        if lost && self.blame_idle_connection(now, to.connection_idle) {
            return;
        }
        let server = &mut self.servers[index];
        let recent = (server.recent_latency(now) + sample.min(SAMPLE_CAP)) / 2.0;
        server.recent = Stamped {
            value: recent,
            at: now,
        };
        let weight = match end.outcome {
            Outcome::ConnectFailed => REFUSED_WEIGHT,
            Outcome::Reset => BROKEN_WEIGHT,
            _ => 1.0,
        };
        let target = f64::from(u8::from(failed));
        server.failures += (target - server.failures) * FAILURE_WEIGHT * weight;
        self.judge_health(now, index, failed, to.trial, out);
        // Departure: a spoilt answer, or one that was lost or cut off on the way, says nothing of how crowded
        // its server is: a few must not shrink the limits of all.
        if matches!(end.outcome, Outcome::CorruptResponse | Outcome::Reset)
            || (end.outcome == Outcome::Timeout && to.early)
        {
            return;
        }
        // Errors and refused connections say nothing of how crowded the servers of a kind are.
        let broken = matches!(end.outcome, Outcome::Error | Outcome::ConnectFailed);
        if known && !broken {
            self.judge_kind(now, kind, sample.min(SAMPLE_CAP));
        }
        self.judge_window(now, index, sample.min(SAMPLE_CAP));
        self.follow_report(now, index, end.load_report);
    }
}
