use super::*;

/// Guards against chunked requests that counted as written, and were left to run after their clients had gone, while their
/// end was still in the memory of the proxy.
#[test]
fn a_chunked_request_is_complete_only_when_the_socket_has_taken_its_end() {
    let extent = RequestExtent {
        body_at: 300,
        body_size: None,
    };
    assert_eq!(extent.complete_at(), None);
    assert!(!extent.is_complete(10_000, None));
    assert!(!extent.is_complete(1_299, Some(1_000)));
    assert!(extent.is_complete(1_300, Some(1_000)));
}

#[test]
fn a_request_of_known_length_is_complete_with_its_last_byte() {
    let extent = RequestExtent {
        body_at: 300,
        body_size: Some(50),
    };
    assert_eq!(extent.complete_at(), Some(350));
    assert!(!extent.is_complete(349, None));
    assert!(extent.is_complete(350, None));
}
