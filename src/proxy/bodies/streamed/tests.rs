use super::*;
use crate::proxy::memory::MemoryBudget;
use crate::proxy::socket_io::SocketObserver;
use http_body_util::BodyExt;
use std::pin::pin;
use std::task::Waker;
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(1);

/// Polls the response once for its next frame.
fn poll_once(response: &mut StreamedResponse) -> FramePoll {
    let mut context = Context::from_waker(Waker::noop());
    pin!(response).poll_frame(&mut context)
}

/// Guards against the incident 820e8d: hyper discards what it has not written when the body fails, so it must have the
/// time to write.
#[tokio::test]
async fn a_response_fails_only_after_its_head_and_its_data_may_have_been_written() {
    for length in [None, Some(100)] {
        for has_data in [false, true] {
            let (sender, mut response) = StreamedResponse::channel(length);
            if has_data {
                let sent = sender.send(Bytes::from_static(b"data"), TIMEOUT).await;
                sent.expect("the response is not dropped");
            }
            drop(sender);
            if has_data {
                let data = response.frame().await;
                assert!(data.is_some_and(|frame| frame.is_ok()));
            }
            assert!(poll_once(&mut response).is_pending(), "{length:?}");
            let failed = poll_once(&mut response);
            assert!(matches!(failed, Poll::Ready(Some(Err(_)))), "{length:?}");
        }
    }
}

#[tokio::test]
async fn a_response_that_breaks_after_its_data_was_written_fails_at_once() {
    let (sender, mut response) = StreamedResponse::channel(None);
    assert!(poll_once(&mut response).is_pending());
    drop(sender);
    let failed = poll_once(&mut response);
    assert!(matches!(failed, Poll::Ready(Some(Err(_)))));
}

#[tokio::test]
async fn a_response_fails_only_after_the_kernel_has_accepted_what_was_written() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener is bound");
    let stream = TcpStream::connect(address)
        .await
        .expect("the listener is open");
    let connection = Rc::new(ClientConnection::new(
        stream,
        1_000,
        MemoryBudget::unlimited(),
    ));
    let (sender, mut response) = StreamedResponse::channel(None);
    response.set_connection(Rc::clone(&connection));
    drop(sender);
    connection.on_write(&Poll::Pending);
    for _ in 0..3 {
        assert!(poll_once(&mut response).is_pending());
    }
    connection.on_write(&Poll::Ready(Ok(1)));
    let failed = poll_once(&mut response);
    assert!(matches!(failed, Poll::Ready(Some(Err(_)))));
}

#[tokio::test]
async fn a_response_has_broken_off_if_its_sender_does_not_finish_it() {
    let (sender, response) = StreamedResponse::channel(None);
    assert!(!response.has_broken_off());
    sender.finish().await;
    assert!(!response.has_broken_off());
    let (sender, response) = StreamedResponse::channel(None);
    drop(sender);
    assert!(response.has_broken_off());
}
