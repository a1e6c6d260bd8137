use super::*;
use crate::proxy::bodies::StreamedResponse;

fn served(body: StreamedResponse) -> Answer {
    Answer::Served(ServedResponse {
        body: ServedBody::Streamed(body),
        content_type: None,
    })
}

/// Guards against ending a client's connection without a byte because its response breaks before it is sent.
#[test]
fn a_response_that_has_broken_off_before_it_is_sent_is_answered_as_failed() {
    let (sender, body) = StreamedResponse::channel(Some(100));
    drop(sender);
    assert!(matches!(final_answer(Some(served(body))), Answer::Failed));
    let (_sender, body) = StreamedResponse::channel(Some(100));
    assert!(matches!(
        final_answer(Some(served(body))),
        Answer::Served(_)
    ));
    assert!(matches!(final_answer(None), Answer::Failed));
}
