//! The slots of attempts whose requests have bodies that are still arriving from their clients.

use super::Balancer;
use super::requests::{Attempt, AttemptState, RequestKey};
use crate::api::{Action, Micros, RequestId};

impl Balancer {
    /// Handles a pause of a client in the middle of a streamed body, or the end of the pause. The event is ignored if
    /// the attempt is unknown or has ended.
    ///
    /// Deviation: an attempt occupies no slot while its upload is stalled. The backend begins to work only after the
    /// last byte, so the client's pause must neither use up the backend's limit nor make it seem unresponsive.
    pub(super) fn on_upload_progress(
        &mut self,
        now: Micros,
        id: RequestId,
        number: u16,
        is_stalled: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(key) = self.requests.find(id) else {
            return;
        };
        let Some(attempt) = self.uploading_attempt(key, number) else {
            return;
        };
        if attempt.upload_stalled == is_stalled {
            return;
        }
        if is_stalled {
            self.free_slot(&attempt);
            self.requests[key].attempts[usize::from(number)].upload_stalled = true;
        } else {
            self.resume_upload(now, key, number);
        }
        self.reindex(now, attempt.backend);
        self.serve_queue(now, out);
    }

    /// Returns an attempt whose response has not started; `None` if there is no such attempt in flight.
    fn uploading_attempt(&self, key: RequestKey, number: u16) -> Option<Attempt> {
        let attempt = self.requests[key].attempts.get(usize::from(number))?;
        let is_uploading = attempt.state == AttemptState::InFlight && !attempt.response_started;
        is_uploading.then_some(*attempt)
    }

    /// Lets an attempt occupy a slot again. It is overdue as late as one that is sent now.
    fn resume_upload(&mut self, now: Micros, key: RequestKey, number: u16) {
        let overdue_at = self.overdue_at(now, key);
        let attempt = &mut self.requests[key].attempts[usize::from(number)];
        attempt.upload_stalled = false;
        attempt.overdue_at = overdue_at;
        let attempt = *attempt;
        self.occupy_slot(now, &attempt);
    }
}
