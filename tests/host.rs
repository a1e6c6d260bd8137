//! The program `tillerproxy-simhost` (the host), which runs balancers for a simulator, tested end to end: batches on
//! its standard input, replies on its standard output.
//!
//! These tests write and read the bytes without the library, so that they do not share its errors.

use std::io::{Read, Write};
use std::process::{Command, Output, Stdio};

/// Codes of the records from the simulator.
mod event_code {
    pub const ENDPOINT_LIST: u8 = 0;
    pub const SELECT_PROXY: u8 = 2;
    pub const CRASH_PROXY: u8 = 5;
    pub const MEMBERSHIP_UPDATE: u8 = 7;
    pub const START_PROXY: u8 = 9;
    pub const REQUEST_RECEIVED: u8 = 11;
}

/// Codes of the records from the host.
mod action_code {
    /// A send, `submit_to` in the protocol.
    pub const SEND: u8 = 64;
    pub const FATAL: u8 = 73;
    pub const SELECT_PROXY: u8 = 76;
}

/// Kinds of membership updates.
mod update_kind {
    pub const FULL: u8 = 1;
    pub const CACHED: u8 = 2;
}

/// Valid settings with one class.
const SETTINGS: &str = r#"{"balancers": 2, "me": 0, "zone": 0, "failureDomains": ["a"], "kinds": ["x"],
  "membershipMode": "pushed",
  "classes": [{"aimUs": 500000, "deadlineUs": 900000, "effect": "retryable", "worth": 1.0}],
  "permissions": {"maxAttempts": 3},
  "safety": {"coldFrom": 0.3, "coldUs": 8000000, "fallMultiple": 3.0, "fallUs": 2000000}}"#;

/// Returns a record: its code, the length of its fields and the fields.
fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let body = fields.concat();
    [&[code][..], &(body.len() as u32).to_be_bytes(), &body].concat()
}

/// Returns a batch: the number of records, the number of bytes that follow, the clock and the records.
fn batch(clock: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let header = [
        (records.len() as u32).to_be_bytes(),
        (body.len() as u32 + 8).to_be_bytes(),
    ]
    .concat();
    [header, clock.to_be_bytes().to_vec(), body].concat()
}

/// Returns the record that directs the records after it to a proxy.
fn select_proxy(proxy: u16) -> Vec<u8> {
    record(event_code::SELECT_PROXY, &[&proxy.to_be_bytes()])
}

/// Returns the record that starts the selected proxy with these settings and the seed 7.
fn start_proxy(settings: &str) -> Vec<u8> {
    record(
        event_code::START_PROXY,
        &[
            &7_u64.to_be_bytes(),
            &(settings.len() as u32).to_be_bytes(),
            settings.as_bytes(),
        ],
    )
}

/// Returns an endpoint list record with these ready backends. Membership updates refer to the list by the number
/// `list`.
fn endpoint_list(list: u16, backends: &[u32]) -> Vec<u8> {
    // Zone 0, machine type 0, cell 0, ready, and a float of 1.0 that the host does not read.
    let properties = [0, 0, 0, 0, 0, 1, 0x3f, 0x80, 0, 0];
    let start_time = [0; 8];
    let entry = |id: &u32| [&id.to_be_bytes()[..], &properties, &start_time].concat();
    let entries: Vec<u8> = backends.iter().flat_map(entry).collect();
    record(
        event_code::ENDPOINT_LIST,
        &[
            &list.to_be_bytes(),
            &(backends.len() as u32).to_be_bytes(),
            &entries,
        ],
    )
}

/// Returns a membership update of this kind that refers to the endpoint list with the number `list`.
fn membership_update(kind: u8, list: u16) -> Vec<u8> {
    record(
        event_code::MEMBERSHIP_UPDATE,
        &[&[kind], &1_u32.to_be_bytes(), &list.to_be_bytes()],
    )
}

/// Returns a request of class 0 and tenant 0 with a timeout of 400 ms.
fn request(id: u32) -> Vec<u8> {
    record(
        event_code::REQUEST_RECEIVED,
        &[
            &id.to_be_bytes(),
            &[0; 11],
            &400_000_u32.to_be_bytes(),
            &[0; 5],
        ],
    )
}

/// Runs the host with this standard input until it exits, and returns its output.
fn run(input: &[u8]) -> Output {
    let mut host = Command::new(env!("CARGO_BIN_EXE_tillerproxy-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the test build includes the host program");
    let mut stdin = host.stdin.take().expect("standard input is a pipe");
    let input = input.to_vec();
    let writer = std::thread::spawn(move || _ = stdin.write_all(&input));
    let output = host
        .wait_with_output()
        .expect("the host's output can be read until it ends");
    writer
        .join()
        .expect("the thread that writes does not panic");
    output
}

/// A record of a reply that carries an action.
#[derive(Clone, PartialEq, Debug)]
struct ActionRecord {
    /// Proxy whose balancer returned the action.
    proxy: u16,
    code: u8,
    fields: Vec<u8>,
}

/// Returns the action records of one reply. Each belongs to the proxy that was selected last before it.
fn action_records(mut reply: &[u8]) -> Vec<ActionRecord> {
    let mut records = Vec::new();
    let mut proxy = 0;
    while !reply.is_empty() {
        let length =
            u32::from_be_bytes(reply[1..5].try_into().expect("a length has four bytes")) as usize;
        let fields = reply[5..5 + length].to_vec();
        match reply[0] {
            action_code::SELECT_PROXY => proxy = u16::from_be_bytes([fields[0], fields[1]]),
            code => records.push(ActionRecord {
                proxy,
                code,
                fields,
            }),
        }
        reply = &reply[5 + length..];
    }
    records
}

/// Returns the records of each reply.
fn replies(mut bytes: &[u8]) -> Vec<Vec<ActionRecord>> {
    let mut replies = Vec::new();
    while !bytes.is_empty() {
        let mut length = [0; 4];
        bytes
            .read_exact(&mut length)
            .expect("a reply starts with its length");
        let (reply, rest) = bytes.split_at(u32::from_be_bytes(length) as usize);
        bytes = rest;
        replies.push(action_records(reply));
    }
    replies
}

/// Returns the sends of the first reply.
fn sends_of_first_reply(output: &Output) -> Vec<ActionRecord> {
    let mut sends = replies(&output.stdout).swap_remove(0);
    sends.retain(|record| record.code == action_code::SEND);
    sends
}

/// Returns the backend id of a send.
fn backend_of_send(record: &ActionRecord) -> u32 {
    assert_eq!(record.code, action_code::SEND, "expected a send");
    u32::from_be_bytes(
        record.fields[12..16]
            .try_into()
            .expect("a backend id has four bytes"),
    )
}

#[test]
fn the_host_answers_empty_batches_with_empty_replies_and_exits_at_the_end_of_input() {
    let output = run(&[batch(1, &[]), batch(2, &[])].concat());
    assert!(
        output.status.success() && output.stderr.is_empty(),
        "expected success and no message: {output:?}"
    );
    assert_eq!(
        output.stdout, [0; 8],
        "expected two replies with the length 0"
    );
}

#[test]
fn an_endpoint_list_number_reused_within_a_batch_refers_to_the_last_list_before_the_update() {
    let start = [
        select_proxy(3),
        start_proxy(SETTINGS),
        endpoint_list(0, &[10]),
        membership_update(update_kind::CACHED, 0),
    ];
    let start_other = [
        select_proxy(4),
        start_proxy(SETTINGS),
        endpoint_list(0, &[20]),
        membership_update(update_kind::CACHED, 0),
    ];
    let requests = [select_proxy(3), request(1), select_proxy(4), request(1)];
    let output = run(&batch(5, &[&start[..], &start_other, &requests].concat()));
    let sends = sends_of_first_reply(&output);
    assert_eq!((sends[0].proxy, backend_of_send(&sends[0])), (3, 10));
    assert_eq!((sends[1].proxy, backend_of_send(&sends[1])), (4, 20));
}

#[test]
fn a_proxy_restarted_after_a_crash_in_the_same_batch_has_none_of_its_earlier_state() {
    let start = [
        select_proxy(0),
        start_proxy(SETTINGS),
        endpoint_list(1, &[10]),
        membership_update(update_kind::CACHED, 1),
        request(1),
    ];
    let restart = [
        record(event_code::CRASH_PROXY, &[]),
        start_proxy(SETTINGS),
        endpoint_list(2, &[11]),
        membership_update(update_kind::CACHED, 2),
        request(1),
    ];
    let output = run(&batch(5, &[&start[..], &restart].concat()));
    let backends: Vec<u32> = sends_of_first_reply(&output)
        .iter()
        .map(backend_of_send)
        .collect();
    assert_eq!(
        backends,
        [10, 11],
        "expected the second send at the backend of the list after the restart"
    );
}

#[test]
fn a_batch_of_several_megabytes_is_answered() {
    let mut records = vec![
        select_proxy(0),
        start_proxy(SETTINGS),
        endpoint_list(0, &[1, 2, 3]),
        membership_update(update_kind::CACHED, 0),
    ];
    records.extend((0..60_000).map(request));
    let output = run(&batch(5, &records));
    assert!(output.status.success());
    assert!(
        replies(&output.stdout)[0].len() >= 60_000,
        "expected at least one record for each of 60000 requests, which are sent, queued or rejected"
    );
}

#[test]
fn a_proxy_acts_the_same_in_a_host_of_its_own_and_in_a_shared_host() {
    let events = |proxy: u16, clock: u64| {
        let mut records = vec![select_proxy(proxy)];
        if clock == 0 {
            records.extend([
                start_proxy(SETTINGS),
                endpoint_list(0, &[1, 2, 3, 4, 5]),
                membership_update(update_kind::CACHED, 0),
            ]);
        }
        records.extend((0..20).map(|number| request(clock as u32 * 100 + number)));
        records
    };
    let conversation = |proxies: &[u16]| {
        let events_of_all = |clock| {
            proxies
                .iter()
                .flat_map(|&proxy| events(proxy, clock))
                .collect::<Vec<_>>()
        };
        (0..5)
            .flat_map(|clock| batch(clock, &events_of_all(clock)))
            .collect::<Vec<u8>>()
    };
    let together = replies(&run(&conversation(&[0, 1, 2])).stdout);
    assert_eq!(
        together,
        replies(&run(&conversation(&[0, 1, 2])).stdout),
        "expected the same actions for the same events"
    );
    for proxy in 0..3 {
        let alone = replies(&run(&conversation(&[proxy])).stdout);
        for (reply_to_all, reply_to_one) in together.iter().zip(&alone) {
            let records = reply_to_all.iter().filter(|record| record.proxy == proxy);
            assert!(
                records.eq(reply_to_one),
                "expected the same actions of proxy {proxy} in both hosts"
            );
        }
    }
}

#[test]
fn malformed_input_ends_the_host_with_a_failure_status_and_one_line_on_standard_error() {
    let complete = batch(5, &[select_proxy(0)]);
    for (input, expected) in [
        (
            &complete[..complete.len() - 1],
            "the input ends within a batch, expected 15 bytes after the batch header",
        ),
        (
            &complete[..5],
            "the input ends within a batch header, expected 8 bytes",
        ),
        (
            &batch(5, &[select_proxy(9), request(1)])[..],
            "event for proxy 9, expected a proxy that is running",
        ),
        (
            &batch(5, &[request(1)])[..],
            "no proxy is selected, expected a `switch_to` record before a record for a proxy",
        ),
        (
            &batch(
                5,
                &[
                    select_proxy(0),
                    start_proxy(SETTINGS),
                    membership_update(update_kind::FULL, 7),
                ],
            )[..],
            "refers to list 7, expected a list of an earlier `page` record",
        ),
    ] {
        let output = run(input);
        let text = String::from_utf8(output.stderr).expect("the host writes UTF-8");
        assert!(
            !output.status.success() && text.lines().count() == 1 && text.contains(expected),
            "expected a failure status and one line with {expected:?}: {text}"
        );
    }
}

#[test]
fn invalid_settings_are_reported_with_a_fatal_record_and_a_line_on_standard_error() {
    let output = run(&batch(
        5,
        &[
            select_proxy(6),
            start_proxy(&SETTINGS.replace("retryable", "maybe")),
        ],
    ));
    let last = replies(&output.stdout)
        .concat()
        .pop()
        .expect("the host answers with a fatal record");
    assert_eq!((last.proxy, last.code), (6, action_code::FATAL));
    assert!(
        String::from_utf8_lossy(&output.stderr)
            .starts_with("proxy 6 failed: setting `classes[0].effect`")
    );
    assert!(String::from_utf8_lossy(&last.fields).contains(
        r#"setting `classes[0].effect`: found "maybe", allowed retryable, dedup, fragile"#
    ));
}

#[test]
fn two_records_with_the_same_unknown_code_are_reported_once() {
    let unknown = record(200, &[&[1, 2, 3]]);
    let output = run(&batch(5, &[unknown.clone(), unknown]));
    assert!(output.status.success());
    assert_eq!(
        String::from_utf8_lossy(&output.stderr)
            .matches("200")
            .count(),
        1
    );
}
