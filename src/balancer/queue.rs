//! Requests that wait briefly for room.

use super::{Balancer, TIMER_QUEUE};
use crate::api::{Action, Micros};
use crate::state::Open;

/// A request without room waits this part of its time left.
const QUEUE_TIME_DIVISOR: Micros = 10;

impl Balancer {
    pub(super) fn enqueue(&mut self, now: Micros, slot: usize, out: &mut Vec<Action>) {
        let wait = self.open[slot].deadline.saturating_sub(now) / QUEUE_TIME_DIVISOR;
        self.kinds.iter_mut().for_each(|s| s.window.filled = true);
        self.open[slot].queued_until = Some(now + wait);
        self.queue.push(slot);
        out.push(Action::SetTimer {
            after: wait,
            token: (slot as u32) << 2 | TIMER_QUEUE,
        });
    }

    pub(super) fn dequeue(&mut self, slot: usize) {
        if self.open[slot].queued_until.take().is_some() {
            self.queue.retain(|&s| s != slot);
        }
    }

    /// Room may have come free: the held request of the highest worth per work goes first.
    pub(super) fn serve_queue(&mut self, now: Micros, out: &mut Vec<Action>) {
        while !self.queue.is_empty() {
            let value = |slot: usize| self.value(&self.open[slot]);
            let Some(best) = self
                .queue
                .iter()
                .copied()
                .reduce(|a, b| if value(b) > value(a) { b } else { a })
            else {
                return;
            };
            let Some(server) = self.pick(now, best) else {
                return;
            };
            self.send(now, best, server, out);
        }
    }

    pub(super) fn value(&self, open: &Open) -> f64 {
        let share = if open.over_share {
            self.settings.over_quota_weight
        } else {
            1.0
        };
        self.settings.classes[open.class].priority_weight * share / self.mean(open.class)
    }
}
