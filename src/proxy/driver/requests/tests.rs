use super::*;
use crate::proxy::backends::RequestOver;
use crate::proxy::bodies::BufferedBody;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use tokio::sync::oneshot::error::TryRecvError;

const REQUEST: RequestId = RequestId(1);

fn pending_request() -> (PendingRequest, oneshot::Receiver<Answer>) {
    let call = Call {
        method: Method::GET,
        target: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: BufferedBody::default().into(),
        over: RequestOver::default(),
    };
    let (client, answer) = oneshot::channel();
    (PendingRequest::new(call, client, 1_000_000), answer)
}

#[test]
fn a_request_is_answered_once() {
    let (mut open, mut answer) = pending_request();
    assert!(open.is_unanswered());
    assert!(open.answer(REQUEST, Answer::Rejected { retry_after: 7 }));
    assert!(!open.answer(REQUEST, Answer::Failed));
    assert!(!open.disconnect() && !open.is_unanswered());
    let received = answer.try_recv().expect("an answer");
    assert!(matches!(received, Answer::Rejected { retry_after: 7 }));
}

#[test]
fn a_cancelled_attempt_is_notified_once_and_still_ends_once() {
    let (mut open, _answer) = pending_request();
    let (first, mut first_cancelled) = open.start_attempt(BackendId(5), 10);
    let (second, mut second_cancelled) = open.start_attempt(BackendId(6), 20);
    assert_eq!((first, second), (0, 1));
    open.cancel_attempt(first);
    open.cancel_attempt(first);
    assert_eq!(first_cancelled.try_recv(), Ok(()));
    assert_eq!(second_cancelled.try_recv(), Err(TryRecvError::Empty));
    assert_eq!(open.end_attempt(first), Some(BackendId(5)));
    assert_eq!(open.end_attempt(first), None);
    open.cancel_attempt(first);
    assert_eq!(open.end_attempt(first), None, "an ended attempt stays so");
    open.cancel_attempt(9);
    assert_eq!(open.end_attempt(9), None);
}

#[test]
fn a_request_stays_until_it_is_answered_and_its_attempts_have_ended() {
    let (mut open, _answer) = pending_request();
    let (attempt, _cancelled) = open.start_attempt(BackendId(5), 10);
    let mut requests = PendingRequests::default();
    requests.insert(REQUEST, open);
    let stays = |requests: &mut PendingRequests| {
        requests.remove_if_finished(REQUEST);
        requests.get(REQUEST).is_some()
    };
    assert!(stays(&mut requests));
    let open = requests.get_mut(REQUEST).expect("a pending request");
    assert!(open.disconnect());
    open.cancel_attempt(attempt);
    assert!(stays(&mut requests), "the attempt's outcome is to come");
    let open = requests.get_mut(REQUEST).expect("a pending request");
    open.end_attempt(attempt);
    assert!(!stays(&mut requests));
}
