//! The forms of an HTTP request: which are forwarded and which are rejected.

use crate::rig::*;
use std::io::Read;
use std::time::Instant;

/// Malformed requests: a part of a well-formed request, the text that replaces this part, and the status of the
/// response.
const MALFORMED_PARTS: [(&str, &str, u16); 19] = [
    ("/submit", "/nothing", 400),
    ("X-Service-Class: submit", "X-Service-Class: read", 400),
    ("X-Correlation-Id: 7\r\n", "", 400),
    ("X-Time-Left-Ms: 15000\r\n", "", 400),
    ("15000", "-5", 400),
    ("15000", "99999999999999999999999", 400),
    ("Idempotency-Key: 7\r\n", "", 400),
    ("POST", "GET", 405),
    // Numbers that a backend may parse differently, and repeated header fields, of which a backend may use another
    // occurrence than the proxy.
    ("15000", "+480", 400),
    ("15000", " ", 400),
    ("15000", "480, 15000", 400),
    (
        "X-Time-Left-Ms: 15000\r\n",
        "X-Time-Left-Ms: 480\r\nX-Time-Left-Ms: 15000\r\n",
        400,
    ),
    (
        "X-Correlation-Id: 7\r\n",
        "X-Correlation-Id: 7\r\nX-Correlation-Id: 8\r\n",
        400,
    ),
    (
        "Idempotency-Key: 7\r\n",
        "Idempotency-Key: 7\r\nIdempotency-Key: 7\r\n",
        400,
    ),
    ("Content-Length: 1", "Content-Length: +1", 400),
    ("Content-Length: 1", "Content-Length: -1", 400),
    (
        "Content-Length: 1",
        "Content-Length: 1\r\nContent-Length: 2",
        400,
    ),
    (
        "Content-Length: 1",
        "Content-Length: 99999999999999999999999",
        400,
    ),
    // A body that is too long is rejected before its first byte has arrived.
    (
        "Content-Length: 1\r\n\r\nx",
        "Content-Length: 60000000\r\n\r\n",
        413,
    ),
];

#[test]
fn malformed_requests_get_a_4xx_and_are_not_forwarded() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let proxy = Proxy::start_with_backend("nonsense", &discovery, backend.address);
    let well_formed = request("submit", "7", "x");
    let mut cases = vec![("\x01\x02 nonsense\r\n\r\n".to_owned(), 400)];
    for (part, malformed, status) in MALFORMED_PARTS {
        assert!(well_formed.contains(part), "{part}");
        cases.push((well_formed.replace(part, malformed), status));
    }
    for (text, status) in cases {
        let line = text.lines().next().unwrap_or_default();
        let mut client = proxy.client();
        assert_eq!(client.exchange(&text).status(), status, "{line}");
        assert!(
            client.ends_cleanly(),
            "the connection is closed, because further bytes may belong to the malformed request: {line}"
        );
    }
    assert_eq!(backend.take_requests(), 0);
    assert_eq!(proxy.status_of(&well_formed), 200);
}

/// A form of a request with the body `body`, and the status of its response.
struct RequestForm {
    name: &'static str,
    /// The header fields that frame the body, and possibly others.
    fields: &'static str,
    /// The body as it is sent.
    encoded_body: &'static str,
    /// A part of the request and the text that is sent in its place.
    replaced: (&'static str, &'static str),
    status: u16,
}

const LENGTH: &str = "Content-Length: 4\r\n";
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

/// Returns a form with these header fields and this encoded body.
const fn framed(
    name: &'static str,
    fields: &'static str,
    encoded_body: &'static str,
    status: u16,
) -> RequestForm {
    RequestForm {
        name,
        fields,
        encoded_body,
        replaced: ("", ""),
        status,
    }
}

impl RequestForm {
    /// Returns this form with the replacement in place of a part of the request.
    const fn replacing(mut self, part: &'static str, replacement: &'static str) -> Self {
        self.replaced = (part, replacement);
        self
    }

    /// Returns the request with this id in this form.
    fn request_text(&self, id: &str) -> String {
        let head = request("submit", id, "").replace("Content-Length: 0\r\n", self.fields);
        let (part, replacement) = self.replaced;
        (head + self.encoded_body).replace(part, replacement)
    }
}

const REQUEST_FORMS: [RequestForm; 13] = [
    framed("chunked", CHUNKED, "4\r\nbody\r\n0\r\n\r\n", 200),
    framed(
        "chunk extensions",
        CHUNKED,
        "2;a=b;c=\"d\"\r\nbo\r\n002 \r\ndy\r\n0;z\r\n\r\n",
        200,
    ),
    framed(
        "trailers",
        CHUNKED,
        "4\r\nbody\r\n0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n",
        200,
    ),
    framed("a bad chunk size", CHUNKED, "zz\r\nbody\r\n0\r\n\r\n", 400),
    framed("a bad chunk end", CHUNKED, "2\r\nbody\r\n0\r\n\r\n", 400),
    framed(ABSOLUTE_FORM, LENGTH, "body", 200).replacing("/submit", "http://app.svc/submit"),
    framed(
        "a field name in another case",
        "content-LENGTH: 4\r\n",
        "body",
        200,
    ),
    framed("empty lines before the request", LENGTH, "body", 200).replacing("POST", "\r\n\r\nPOST"),
    framed(
        "obsolete folding",
        "X-Odd: a\r\n b\r\nContent-Length: 4\r\n",
        "body",
        400,
    ),
    framed(
        "a space in a field name",
        "X-Odd : a\r\nContent-Length: 4\r\n",
        "body",
        400,
    ),
    framed("HTTP/1.0", LENGTH, "body", 200).replacing("HTTP/1.1", "HTTP/1.0"),
    framed(
        "a transfer encoding in HTTP/1.0",
        CHUNKED,
        "4\r\nbody\r\n0\r\n\r\n",
        400,
    )
    .replacing("HTTP/1.1", "HTTP/1.0"),
    framed("an unknown version", LENGTH, "body", 400).replacing("HTTP/1.1", "HTTP/2.7"),
];

/// The name of the form for which the test checks the request that the backend receives.
const ABSOLUTE_FORM: &str = "absolute form";

/// Requests whose target is not a path, and which are rejected.
const REQUESTS_WITHOUT_A_PATH: [&str; 2] = [
    "CONNECT app.svc:80 HTTP/1.1\r\nHost: app.svc\r\n\r\n",
    "OPTIONS * HTTP/1.1\r\nHost: app.svc\r\n\r\n",
];

#[test]
fn every_request_form_is_forwarded_or_rejected_with_its_status() {
    let discovery = Discovery::start();
    let backend = Backend::start(|received| ok(&String::from_utf8_lossy(&received.body)));
    let proxy = Proxy::start_with_backend("forms", &discovery, backend.address);
    let mut absolute_id = String::new();
    for (i, form) in REQUEST_FORMS.into_iter().enumerate() {
        let id = (i + 1).to_string();
        let got = proxy.client().exchange(&form.request_text(&id));
        assert_eq!(got.status(), form.status, "{}", form.name);
        if form.status == 200 {
            assert_eq!(got.body, b"body", "{}", form.name);
        }
        if form.name == ABSOLUTE_FORM {
            absolute_id = id;
        }
    }
    for text in REQUESTS_WITHOUT_A_PATH {
        assert_eq!(proxy.status_of(text), 400, "{text}");
    }
    let received = backend
        .requests
        .try_iter()
        .find(|received| received.header("x-correlation-id") == Some(&absolute_id))
        .expect("the request in absolute form was forwarded");
    assert_eq!(
        (received.first_line(), received.header("host")),
        ("POST /submit?key=7f3a HTTP/1.1", Some("app.svc"))
    );
}

/// Request smuggling: a backend that frames the body by its length would find another request in the body of the first.
#[test]
fn a_request_with_ambiguous_framing_is_rejected_and_its_connection_is_closed() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let proxy = Proxy::start_with_backend("smuggled", &discovery, backend.address);
    let hidden = request("charge", "hidden", "x");
    let body = format!("0\r\n\r\n{hidden}");
    let length = format!("Content-Length: {}\r\n", body.len());
    let encoding = "Transfer-Encoding: chunked\r\n";
    let hidden_encoding = "Transfer-Encoding: gzip, chunked\r\n".to_owned();
    for fields in [
        format!("{length}{encoding}"),
        format!("{encoding}{length}"),
        length.repeat(2),
        hidden_encoding,
    ] {
        let mut client = proxy.client();
        let head = request("charge", "outer", "").replace("Content-Length: 0\r\n", &fields);
        let got = client.exchange(&format!("{head}{body}"));
        assert!((400..500).contains(&got.status()), "{}", got.head);
        assert!(client.ends_cleanly());
    }
    assert_eq!(proxy.status_of(HEALTH_CHECK), 200);
    assert_eq!(backend.take_requests(), 0);
}

#[test]
fn a_second_request_with_the_id_of_an_open_one_is_rejected() {
    let discovery = Discovery::start();
    let (backend, release) = backend_that_holds_first_request("first", "later");
    let proxy = Proxy::start_with_backend("same-id", &discovery, backend.address);
    let mut first = proxy.client();
    first.send(&request("charge", "1", "x"));
    backend.next_request();
    assert_eq!(proxy.status_of(&request("charge", "1", "x")), 409);
    assert_eq!(backend.take_requests(), 0);
    release
        .send(())
        .expect("the backend waits for the signal to respond");
    assert_eq!(first.receive().body, b"first");
    assert_eq!(
        proxy.status_of(&request("charge", "1", "x")),
        409,
        "a request that was served does not run again"
    );
    assert_eq!(backend.take_requests(), 0);
    for _ in 0..2 {
        let repeated = proxy.client().exchange(&request("read", "2", ""));
        assert_eq!(
            repeated.body, b"later",
            "the id of an idempotent request can be used again after the response"
        );
    }
}

/// The response or the close must arrive within 3 s. The test allows more time, because its machine may be busy.
#[test]
fn silent_and_incomplete_requests_end_with_408_or_a_close() {
    let discovery = Discovery::start();
    let proxy = Proxy::start("half", &discovery, &[]);
    let good = request("charge", "1", "body");
    let began = Instant::now();
    let incomplete_requests = ["", "P", &good[..40], &good[..good.len() - 2]].map(|text| {
        let mut client = proxy.client();
        client.send(text);
        client
    });
    let mut idle = proxy.client();
    assert_eq!(idle.exchange(HEALTH_CHECK).status(), 200);
    for mut client in incomplete_requests {
        let mut rest = Vec::new();
        client
            .reader
            .read_to_end(&mut rest)
            .expect("the proxy closes the connection without a reset");
        assert!(
            rest.is_empty() || rest.starts_with(b"HTTP/1.1 408 "),
            "{}",
            String::from_utf8_lossy(&rest)
        );
    }
    assert!(
        idle.ends_cleanly(),
        "an idle connection is closed without a reset"
    );
    assert!(began.elapsed() < TEST_TIMEOUT / 3, "{:?}", began.elapsed());
}
