use super::*;
use crate::proxy::backends::RequestEnded;
use crate::proxy::bodies::{BufferedBody, ServedBody, StreamedResponse};
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
        presence: Rc::default(),
        executions: None,
        request_ended: RequestEnded::default(),
    };
    let (client, answer) = oneshot::channel();
    (PendingRequest::new(call, client, 0, 1_000_000), answer)
}

fn streamed_response(body: StreamedResponse) -> ServedResponse {
    ServedResponse {
        body: ServedBody::Streamed(body),
        content_type: None,
    }
}

#[test]
fn only_the_first_answer_of_a_request_is_sent() {
    let (mut open, mut answer) = pending_request();
    assert!(open.is_unanswered());
    assert!(open.answer(REQUEST, Answer::Rejected { retry_after: 7 }));
    assert!(!open.answer(REQUEST, Answer::Failed));
    assert!(!open.disconnect() && !open.is_unanswered());
    let received = answer.try_recv().expect("the first answer was sent");
    assert!(matches!(received, Answer::Rejected { retry_after: 7 }));
}

#[test]
fn a_response_that_has_broken_off_before_it_is_sent_is_no_answer() {
    let (mut open, mut answer) = pending_request();
    let (sender, body) = StreamedResponse::channel(None);
    drop(sender);
    assert!(!open.begin_response(REQUEST, 0, streamed_response(body)));
    assert!(open.is_unanswered());
    let (_sender, body) = StreamedResponse::channel(None);
    assert!(open.begin_response(REQUEST, 0, streamed_response(body)));
    assert!(matches!(answer.try_recv(), Ok(Answer::Served(_))));
}

#[test]
fn an_attempt_is_cancelled_and_ended_at_most_once() {
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
    assert_eq!(
        open.end_attempt(first),
        None,
        "an ended attempt cannot be cancelled"
    );
    open.cancel_attempt(9);
    assert_eq!(open.end_attempt(9), None);
}

#[test]
fn a_request_is_removed_once_its_client_needs_no_answer_and_its_attempts_have_ended() {
    let (mut open, _answer) = pending_request();
    let (attempt, _cancelled) = open.start_attempt(BackendId(5), 10);
    let mut requests = PendingRequests::default();
    requests.insert(REQUEST, open);
    let is_kept = |requests: &mut PendingRequests| {
        requests.remove_if_finished(REQUEST);
        requests.get(REQUEST).is_some()
    };
    assert!(is_kept(&mut requests));
    let open = requests.get_mut(REQUEST).expect("the request is pending");
    assert!(open.disconnect());
    open.cancel_attempt(attempt);
    assert!(
        is_kept(&mut requests),
        "the cancelled attempt has not ended"
    );
    let open = requests.get_mut(REQUEST).expect("the request is pending");
    open.end_attempt(attempt);
    assert!(!is_kept(&mut requests));
}
