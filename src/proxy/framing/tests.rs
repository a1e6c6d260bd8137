use super::*;

const POST: &str = "POST /submit HTTP/1.1\r\n";

/// Returns the framing after `text`, and checks that it is the same for the whole text and for single bytes.
fn framing_after(text: &str) -> Framing {
    let mut whole = Framing::new(1_000);
    whole.feed(text.as_bytes());
    let mut pieces = Framing::new(1_000);
    for byte in text.as_bytes().chunks(1) {
        pieces.feed(byte);
    }
    let seen = |f: &Framing| {
        (
            f.reading,
            f.heads,
            f.ambiguous_head,
            f.is_between_messages(),
            f.is_in_head(),
        )
    };
    assert_eq!(seen(&whole), seen(&pieces), "{text}");
    whole
}

#[test]
fn messages_end_at_the_length_that_their_heads_state() {
    let whole = [
        "GET /up HTTP/1.1\r\nHost: x\r\n\r\n".to_owned(),
        "\r\n\r\nGET /up HTTP/1.1\nHost: x\n\n".to_owned(),
        format!("{POST}Content-Length: 0\r\n\r\n"),
        format!("{POST}Content-Length: 12\r\n\r\nGET / HTTP\r\n"),
        format!("{POST}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        format!(
            "{POST}transfer-encoding:Chunked\r\n\r\n5;ext=\"1\"\r\nab\r\nc\r\n1a \r\n{}\r\n0\r\nA: b\r\n\r\n",
            "x".repeat(26)
        ),
    ];
    for text in &whole {
        let framing = framing_after(text);
        assert!(
            framing.is_between_messages()
                && framing.heads() == 1
                && framing.ambiguous_head.is_none(),
            "{text}"
        );
    }
    let framing = framing_after(&whole.concat());
    assert!(
        framing.is_between_messages() && framing.heads() == 6,
        "all messages in a row"
    );
}

#[test]
fn the_framing_reports_which_part_of_a_message_was_received() {
    assert!(framing_after("GET /up HTT").is_in_head());
    assert!(framing_after(&format!("{POST}Content-Length: 3\r\n\r\nab\r")).is_between_messages());
    for text in [
        "Content-Length: 3\r\n\r\nab",
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc",
    ] {
        let framing = framing_after(&format!("{POST}{text}"));
        assert!(
            !framing.is_between_messages() && !framing.is_in_head() && framing.heads() == 1,
            "{text}"
        );
    }
}

#[test]
fn a_head_with_an_ambiguous_body_length_is_reported_by_its_number() {
    for fields in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nX: y\r\ncontent-length: 4\r\n",
        "Content-Length: 3, 3\r\n",
        "Content-Length: +3\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: xchunked\r\n",
    ] {
        let framing = framing_after(&format!(
            "{POST}Content-Length: 1\r\n\r\nx{POST}{fields}\r\n0\r\n\r\n{POST}"
        ));
        assert!(
            framing.has_ambiguous_body_length(2) && !framing.has_ambiguous_body_length(1),
            "{fields}"
        );
        assert_eq!(framing.heads(), 2, "nothing is parsed after it: {fields}");
    }
}

#[test]
fn endless_heads_and_lines_take_a_bounded_amount_of_memory() {
    let head = framing_after(&format!("GET /{}", "x".repeat(5_000)));
    let size = framing_after(&format!(
        "{POST}Transfer-Encoding: chunked\r\n\r\n1;{}",
        "x".repeat(50_000)
    ));
    let odd = framing_after(&format!("{POST}Transfer-Encoding: chunked\r\n\r\nxyz\r\n"));
    for framing in [head, size, odd] {
        assert_eq!(framing.reading, Reading::Malformed);
        assert!(framing.partial.capacity() < 20_000);
    }
}
