//! Responses that are malformed, incomplete or followed by further bytes.

use crate::rig::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

#[test]
fn a_non_idempotent_request_gets_502_and_no_retry_after_a_broken_response() {
    let broken: [&[u8]; 3] = [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
        b"garbage\r\n\r\n",
    ];
    for (i, bytes) in broken.into_iter().enumerate() {
        let discovery = Discovery::start();
        let first = Backend::start(move |_| Reply::WriteAndClose(bytes.to_vec()));
        let second = Backend::start(move |_| Reply::WriteAndClose(bytes.to_vec()));
        let endpoints = [
            active_endpoint("s-1", first.address),
            active_endpoint("s-2", second.address),
        ];
        let proxy = Proxy::start(&format!("broken-{i}"), &discovery, &endpoints);
        let got = proxy.client().exchange(&request("charge", "1", "x"));
        assert_eq!(got.status(), 502, "the request may have been executed");
        assert_eq!(first.take_requests() + second.take_requests(), 1);
    }
}

/// Starts a backend that sends a corrupt response if the flag is set, and clears the flag. Otherwise its response is
/// valid.
fn backend_with_one_corrupt_response(corrupt: &[u8], is_corrupt: &Arc<AtomicBool>) -> Backend {
    let corrupt = corrupt.to_vec();
    let is_corrupt = Arc::clone(is_corrupt);
    Backend::start(move |_| {
        if is_corrupt.swap(false, Ordering::SeqCst) {
            Reply::Write(corrupt.clone())
        } else {
            ok("good")
        }
    })
}

/// Backends send bytes that cannot become a valid response, and keep the connection open. An attempt that waits for
/// further bytes leaves no time for a retry, and a reset would count as a failure of a healthy backend.
#[test]
fn a_corrupt_response_fails_at_once_and_only_idempotent_requests_are_retried() {
    let endless_head = format!("HTTP/1.1 200 OK\r\nX-Long: {}", "y".repeat(20_000));
    let corrupt: [&[u8]; 10] = [
        b"\x00\xfe\x17 noise \x9c\r\n\r\n",
        b"HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nCont\x00ent: 4\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nno length\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nwithout an end",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        endless_head.as_bytes(),
    ];
    for (i, bytes) in corrupt.into_iter().enumerate() {
        let discovery = Discovery::start();
        let is_corrupt = Arc::new(AtomicBool::new(true));
        let first = backend_with_one_corrupt_response(bytes, &is_corrupt);
        let second = backend_with_one_corrupt_response(bytes, &is_corrupt);
        let endpoints = [
            active_endpoint("s-1", first.address),
            active_endpoint("s-2", second.address),
        ];
        let proxy = Proxy::start(&format!("corrupt-{i}"), &discovery, &endpoints);
        let got = proxy.client().exchange(&request("read", "1", ""));
        assert_eq!(
            (got.status(), got.body.as_slice()),
            (200, b"good".as_slice()),
            "case {i}"
        );
        is_corrupt.store(true, Ordering::SeqCst);
        let got = proxy.client().exchange(&request("charge", "2", "x"));
        assert_eq!(
            got.status(),
            502,
            "case {i}: the request may have been executed"
        );
        assert_eq!(
            first.take_requests() + second.take_requests(),
            3,
            "case {i}"
        );
    }
}

/// A valid response is forwarded whatever follows it. Its connection is not reused, so the further bytes cannot become
/// the response to a later request.
#[test]
fn bytes_after_a_response_are_discarded_with_their_connection() {
    let trailing: [&[u8]; 3] = [
        b"\x00noise",
        b"\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
    ];
    for (i, extra) in trailing.into_iter().enumerate() {
        let discovery = Discovery::start();
        let backend = Backend::start(move |received| {
            let id = received
                .header("x-correlation-id")
                .expect("a forwarded request has a correlation id")
                .as_bytes();
            Reply::Write([response("200 OK", "", id), extra.to_vec()].concat())
        });
        let proxy = Proxy::start_with_backend(&format!("behind-{i}"), &discovery, backend.address);
        let mut client = proxy.client();
        for id in ["one", "two", "three", "four"] {
            let got = client.exchange(&request("charge", id, "x"));
            assert_eq!(
                (got.status(), got.body.as_slice()),
                (200, id.as_bytes()),
                "case {i}"
            );
        }
        let connections: Vec<_> = (0..4).map(|_| backend.next_request().connection).collect();
        assert_eq!(connections, [0, 1, 2, 3], "case {i}");
    }
}

/// Interim (1xx) responses precede the final one, which carries a malformed load report.
#[test]
fn interim_responses_and_malformed_load_reports_are_ignored() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| {
        let interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
        let report = "X-Backend-Load: inflight=é,,=;util=NaN,queue\r\n";
        Reply::Write([interim.to_vec(), response("200 OK", report, b"good")].concat())
    });
    let proxy = Proxy::start_with_backend("early", &discovery, backend.address);
    for id in ["1", "2"] {
        let got = proxy.client().exchange(&request("charge", id, "x"));
        assert_eq!(
            (got.status(), got.body.as_slice()),
            (200, b"good".as_slice())
        );
    }
}
