//! The simulator's protocol by bytes: what is read and written, and the errors for malformed input.

use tillerproxy::api::*;
use tillerproxy::simulator::frames::{
    BatchReader, ListId, ProxyId, Record, ReplyWriter, UpdateKind,
};
use tillerproxy::simulator::{FrameError, parse_settings};

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    let pair =
        |p: &[u8]| u8::from_str_radix(std::str::from_utf8(p).expect("ascii"), 16).expect("hex");
    digits.chunks(2).map(pair).collect()
}

fn records(text: &str) -> Result<Vec<Record<'static>>, FrameError> {
    let bytes: &'static [u8] = hex(text).leak();
    let mut reader = BatchReader::new(bytes)?;
    let mut all = Vec::new();
    while let Some(record) = reader.next_record()? {
        all.push(record);
    }
    Ok(all)
}

#[test]
fn an_empty_batch_has_a_clock_and_an_empty_reply() {
    let bytes = hex("00000000 00000008 0000000000805c5a");
    let mut reader = BatchReader::new(&bytes).expect("a complete batch");
    assert_eq!(reader.clock(), 0x0080_5c5a);
    assert_eq!(reader.next_record(), Ok(None));
    assert_eq!(ReplyWriter::default().finish(), hex("00000000"));
}

#[test]
fn events_of_two_proxies_are_read_in_order() {
    let read = records(
        "00000005 00000045 0000000000805c5a
         02 00000002 0003
         0b 00000018 5d3a91c4 00 0000 91f03b7c55d20a64 0003a980 00002ee0 01
         06 00000004 0000004d
         02 00000002 0005
         08 00000004 0e6f2b19",
    )
    .expect("a good batch");
    assert_eq!(read[0], Record::SelectProxy(ProxyId(3)));
    let Some(Event::Request(request)) = read[1].event() else {
        panic!("{:?}", read[1])
    };
    assert_eq!(
        (request.id, request.class, request.tenant),
        (RequestId(0x5d3a_91c4), ClassIndex(0), TenantIndex(0))
    );
    assert_eq!(
        (request.key, request.timeout),
        (Some(0x91f0_3b7c_55d2_0a64), 240_000)
    );
    assert_eq!(
        (request.expected_work, request.is_retry),
        (Some(12_000), false)
    );
    assert_eq!(
        read[2..],
        [
            Record::TimerFired { token: 77 },
            Record::SelectProxy(ProxyId(5)),
            Record::ClientDisconnected(RequestId(0x0e6f_2b19))
        ]
    );
}

#[test]
fn endpoint_lists_and_outcomes_are_read() {
    let read = records(
        "00000003 00000066 0000000000805c5a
         00 00000032 0000 00000002
            03124a07 0000 00 0000 01 3f800000 0000000000000000
            2c9011f2 0001 00 0000 02 3fc00000 00000000005d1420
         07 00000007 02 00000029 0000
         04 00000016 5d3a91c4 03124a07 01 012e 0002 00004844 01 40200000",
    )
    .expect("a good batch");
    let Record::EndpointList {
        list: ListId(0),
        endpoints,
    } = read[0]
    else {
        panic!("{:?}", read[0])
    };
    let entries = endpoints.parse().expect("good entries");
    assert_eq!(
        (entries[0].id, entries[0].zone, entries[0].started_at),
        (BackendId(0x0312_4a07), Zone(0), None)
    );
    assert_eq!(entries[1].started_at, Some(0x5d_1420));
    assert_eq!(entries[1].readiness, Readiness::Draining);
    assert_eq!(
        read[1],
        Record::MembershipUpdate {
            kind: UpdateKind::Cached,
            list: ListId(0)
        }
    );
    let expected = Record::AttemptEnded {
        request: RequestId(0x5d3a_91c4),
        backend: BackendId(0x0312_4a07),
        attempt: 2,
        outcome: Outcome::Rejected,
        request_answered: true,
        elapsed: 0x4844,
        load_report: vec![2.5],
    };
    assert_eq!(read[2], expected);
}

#[test]
fn malformed_input_is_reported_with_its_offset() {
    let cut =
        records("00000001 0000000d 0000000000805c5a 06 00000004").expect_err("fields are missing");
    assert_eq!(cut.offset, 16);
    let short = records("00000001 0000000f 0000000000805c5a 06 00000002 0000")
        .expect_err("a token has 4 bytes");
    assert_eq!(short.offset, 21);
    let count = records("00000000 0000000f 0000000000805c5a 08 00000002 0000")
        .expect_err("more than counted");
    assert_eq!(
        (count.offset, count.kind.to_string().as_str()),
        (
            16,
            "bytes after the last record, expected the end of the batch"
        )
    );
    let length = records("00000000 00000009 0000000000805c5a").expect_err("a byte is missing");
    assert_eq!(length.offset, 4);
    let outcome = records(
        "00000001 00000020 0000000000805c5a
         01 00000013 0065 00000001 00000002 00 0000000000000000",
    )
    .expect_err("101 is no outcome");
    assert_eq!(outcome.offset, 21);
}

#[test]
fn an_unknown_readiness_is_reported_with_its_offset_in_the_batch() {
    let read = records(
        "00000001 0000003f 0000000000805c5a
         00 00000032 0000 00000002
            03124a07 0000 00 0000 01 3f800000 0000000000000000
            2c9011f2 0001 00 0000 03 3fc00000 00000000005d1420",
    );
    let read = read.expect("the frames are complete");
    let Record::EndpointList { endpoints, .. } = read[0] else {
        panic!("{:?}", read[0])
    };
    let error = endpoints.parse().expect_err("3 is no readiness");
    assert_eq!(
        error.to_string(),
        "invalid input at byte 58 of the batch: readiness of an endpoint is 3, expected 0 to 2"
    );
}

#[test]
fn an_unknown_kind_of_membership_update_is_reported() {
    let error = records("00000001 00000014 0000000000805c5a 07 00000007 04 00000029 0000")
        .expect_err("4 is no kind of update");
    assert_eq!(
        error.to_string(),
        "invalid input at byte 21 of the batch: scope of a `membership` record is 4, expected 0 to 3"
    );
}

#[test]
fn records_give_their_events() {
    let read = records(
        "00000006 00000079 0000000000805c5a
         03 0000000e 00000011 00000000 0002 00000013
         04 0000001a 00000021 00000022 00 0131 0003 00000024 02 3f800000 40000000
         01 0000000b 0064 00000000 00000031 00
         08 00000004 00000041
         06 00000004 00000051
         0b 00000018 00000061 02 0003 0000000000000000 00000064 00000065 02",
    )
    .expect("a good batch");
    let expected = [
        Event::ResponseStarted {
            request: RequestId(0x11),
            attempt: 2,
            elapsed: 0x13,
        },
        Event::AttemptEnded(AttemptEnd {
            request: RequestId(0x21),
            backend: BackendId(0x22),
            attempt: 3,
            outcome: Outcome::Reset,
            request_answered: false,
            elapsed: 0x24,
            load_report: &[1.0, 2.0],
            body_consumed: false,
        }),
        Event::HealthChecked {
            backend: BackendId(0x31),
            outcome: Outcome::Ok,
            load_report: &[],
        },
        Event::ClientDisconnected(RequestId(0x41)),
        Event::Timer(0x51),
        Event::Request(Request {
            id: RequestId(0x61),
            class: ClassIndex(2),
            tenant: TenantIndex(3),
            key: None,
            timeout: 0x64,
            expected_work: None,
            is_retry: true,
        }),
    ];
    let events: Vec<Event<'_>> = read.iter().filter_map(Record::event).collect();
    assert_eq!(format!("{events:?}"), format!("{expected:?}"));
    assert!(Record::CrashProxy.event().is_none() && Record::Gossip.event().is_none());
}

#[test]
fn unknown_records_are_skipped() {
    let read =
        records("00000002 0000001c 0000000000805c5a c8 00000006 010203040506 06 00000004 00000001");
    assert_eq!(
        read,
        Ok(vec![Record::Unknown(200), Record::TimerFired { token: 1 }])
    );
}

#[test]
fn actions_are_written_as_the_protocol_says() {
    let mut reply = ReplyWriter::default();
    let send = Action::Send {
        request: RequestId(0x5d3a_91c4),
        backend: BackendId(0x0312_4a07),
        deadline: 0x8194da,
        write_deadline: None,
    };
    reply.action(ProxyId(3), &send);
    reply.action(
        ProxyId(3),
        &Action::SetTimer {
            after: 500_000,
            token: 77,
        },
    );
    reply.action(
        ProxyId(5),
        &Action::Log(LogEvent::Readmitted {
            backend: BackendId(9),
        }),
    );
    let expected = "00000061
        4c 00000002 0003
        40 00000010 5d3a91c4 00000000008194da 03124a07
        44 00000008 0007a120 0000004d
        4c 00000002 0005
        48 0000002c 002a 726561646d6974746564206261636b656e642039206166746572206120747269616c2072657175657374";
    assert_eq!(reply.finish(), hex(expected));
    reply.action(
        ProxyId(1),
        &Action::Reject {
            request: RequestId(1),
            retry_after: 2,
        },
    );
    reply.action(
        ProxyId(1),
        &Action::Fail {
            request: RequestId(1),
        },
    );
    reply.action(
        ProxyId(1),
        &Action::Cancel {
            request: RequestId(1),
            attempt: 3,
        },
    );
    reply.action(ProxyId(1), &Action::HealthCheck(BackendId(9)));
    reply.action(ProxyId(1), &Action::Subscribe);
    reply.action(ProxyId(1), &Action::CloseIdleConnections(BackendId(9)));
    reply.fatal(ProxyId(1), "x");
    let expected = "00000048 4c 00000002 0001
        41 00000008 00000001 00000002
        42 00000004 00000001
        43 00000006 00000001 0003
        45 00000004 00000009
        4a 00000001 01
        46 00000004 00000009
        49 00000003 0001 78";
    assert_eq!(reply.finish(), hex(expected));
}

const SETTINGS: &str = r#"{"balancers": 5, "me": 2, "zone": 1, "failureDomains": ["a", "b"], "kinds": ["x"],
  "membershipMode": "on_request", "surprise": {"more": 1}, "familyInfo": {"warmKeys": true}, "weights": "rough",
  "classes": [{"aimUs": 500000, "deadlineUs": 900000, "effect": "dedup", "group": "cell", "keyTtlUs": 3000000,
               "lateWorth": 0.5, "name": "n", "streamed": false, "worth": 2.0}],
  "tenants": [{"name": "t", "allowancePerS": 12.5, "share": 1.0}], "overShareWorth": 0.1,
  "penalties": {"crossZone": 0.12, "probe": 0.01}, "loadReport": {"fields": ["avg_ms", "active"], "via": "answers"},
  "permissions": {"cancel": true, "maxAttempts": 5, "maxRetryAfterUs": 7, "probes": false, "retryAfter": true,
                  "secondCopies": true},
  "safety": {"askWithinUs": 10000000, "coldFrom": 0.33, "coldUs": 8199999, "fallMultiple": 3.0, "fallUs": 2000000}}"#;

#[test]
fn settings_are_read_and_unknown_keys_ignored() {
    let settings = parse_settings(SETTINGS.as_bytes()).expect("good settings");
    assert!(settings.discovery_mode == DiscoveryMode::Polled && settings.key_affinity);
    assert_eq!(
        (
            settings.proxy_index,
            settings.proxy_count,
            settings.zone,
            settings.zone_count
        ),
        (2, 5, Zone(1), 2)
    );
    let keyed = Idempotency::Keyed {
        scope: KeyScope::Cell,
        ttl: 3_000_000,
    };
    assert_eq!(settings.classes[0].idempotency, keyed);
    assert_eq!(
        (
            settings.load_report.in_flight,
            settings.load_report.service_time_ms,
            settings.load_report.queued
        ),
        (Some(1), Some(0), None)
    );
    assert_eq!(settings.permissions.max_retry_after, Some(7));
    assert_eq!(settings.tenants[0].quota_per_s, 12.5);
}

/// Settings with another value for each key.
const DISTINCT_SETTINGS: &str = r#"{"me": 2, "balancers": 5, "zone": 1, "failureDomains": ["a", "b", "c"], "kinds": ["x", "y"],
        "membershipMode": "pushed", "familyInfo": {"warmKeys": true}, "overShareWorth": 0.11,
        "classes": [{"aimUs": 21, "aimStretch": 0.22, "deadlineUs": 23, "worth": 24.0, "lateWorth": 0.25,
                     "effect": "dedup", "group": "zone", "keyTtlUs": 26}],
        "tenants": [{"allowancePerS": 31.0}, {}], "penalties": {"crossZone": 0.41, "probe": 0.42},
        "loadReport": {"fields": ["waiting", "other", "active", "avg_ms"], "via": "probe"},
        "permissions": {"maxAttempts": 51, "secondCopies": false, "cancel": true, "probes": false, "connIdleUs": 52,
                        "multiplex": 53, "retryAfter": true, "maxRetryAfterUs": 54},
        "safety": {"askWithinUs": 61, "coldFrom": 0.62, "coldUs": 63, "fallMultiple": 64.0, "fallUs": 65}}"#;

/// The same settings, read.
fn distinct_settings() -> Settings {
    Settings {
        proxy_index: 2,
        proxy_count: 5,
        zone: Zone(1),
        zone_count: 3,
        machine_type_count: 2,
        discovery_mode: DiscoveryMode::Pushed,
        key_affinity: true,
        classes: vec![Class {
            latency_objective: 21,
            objective_work_factor: 0.22,
            timeout: 23,
            priority_weight: 24.0,
            late_weight_factor: 0.25,
            idempotency: Idempotency::Keyed {
                scope: KeyScope::Zone,
                ttl: 26,
            },
        }],
        tenants: vec![Tenant { quota_per_s: 31.0 }, Tenant { quota_per_s: 0.0 }],
        over_quota_weight: 0.11,
        cross_zone_cost: 0.41,
        health_check_cost: 0.42,
        load_report: LoadReportFields {
            in_flight: Some(2),
            queued: Some(0),
            service_time_ms: Some(3),
        },
        load_report_by_health_check: true,
        permissions: Permissions {
            max_attempts: 51,
            hedging: false,
            cancellation: true,
            health_checks: false,
            idle_timeout: 52,
            requests_per_connection: 53,
            max_retry_after: Some(54),
        },
        safety: SafetyLimits {
            poll_interval: 61,
            slow_start_initial_capacity: 0.62,
            slow_start_duration: 63,
            collapse_load_factor: 64.0,
            collapse_time: 65,
        },
    }
}

#[test]
fn each_key_of_the_settings_sets_its_own_field() {
    let settings = parse_settings(DISTINCT_SETTINGS.as_bytes()).expect("good settings");
    assert_eq!(
        format!("{settings:?}"),
        format!("{:?}", distinct_settings())
    );
    for (key, field) in [("secondCopies", "hedging"), ("probes", "health_checks")] {
        let permitted =
            DISTINCT_SETTINGS.replace(&format!("\"{key}\": false"), &format!("\"{key}\": true"));
        let settings = parse_settings(permitted.as_bytes()).expect("good settings");
        let text = format!("{:?}", settings.permissions);
        assert!(text.contains(&format!("{field}: true")), "{text}");
    }
}

/// A valid setting, an invalid one in its place, and the error.
const INVALID_SETTINGS: [(&str, &str, &str); 16] = [
    (
        r#""balancers": 5"#,
        r#""balancers": 0"#,
        "setting `balancers`: found 0, allowed at least 1",
    ),
    (
        r#""aimUs": 500000"#,
        r#""aimUs": 0"#,
        "setting `classes[0].aimUs`: found 0, allowed above 0",
    ),
    (
        r#""deadlineUs": 900000"#,
        r#""deadlineUs": 499999"#,
        "setting `classes[0].deadlineUs`: found 499999, allowed at least 500000, the value of `classes[0].aimUs`",
    ),
    (
        r#""worth": 2.0"#,
        r#""worth": -2.5"#,
        "setting `classes[0].worth`: found -2.5, allowed 0 or more",
    ),
    (
        r#""lateWorth": 0.5"#,
        r#""lateWorth": 1.5"#,
        "setting `classes[0].lateWorth`: found 1.5, allowed 0 to 1",
    ),
    (
        r#""lateWorth": 0.5"#,
        r#""lateWorth": 0.5, "aimStretch": -0.1"#,
        "setting `classes[0].aimStretch`: found -0.1, allowed 0 or more",
    ),
    (
        r#""effect": "dedup""#,
        r#""effect": "magic""#,
        r#"setting `classes[0].effect`: found "magic", allowed retryable, dedup, fragile"#,
    ),
    (
        r#""group": "cell""#,
        r#""group": "moon""#,
        r#"setting `classes[0].group`: found "moon", allowed all, zone, cell"#,
    ),
    (
        r#""allowancePerS": 12.5"#,
        r#""allowancePerS": 1.0}, {"allowancePerS": -1.0"#,
        "setting `tenants[1].allowancePerS`: found -1, allowed 0 or more",
    ),
    (
        r#""overShareWorth": 0.1"#,
        r#""overShareWorth": -0.1"#,
        "setting `overShareWorth`: found -0.1, allowed 0 to 1",
    ),
    (
        r#""maxAttempts": 5"#,
        r#""maxAttempts": 0"#,
        "setting `permissions.maxAttempts`: found 0, allowed at least 1",
    ),
    (
        r#""coldFrom": 0.33"#,
        r#""coldFrom": 7"#,
        "setting `safety.coldFrom`: found 7, allowed 0 to 1",
    ),
    (
        r#""fallMultiple": 3.0"#,
        r#""fallMultiple": 0.0"#,
        "setting `safety.fallMultiple`: found 0, allowed above 0",
    ),
    (
        r#""membershipMode": "on_request""#,
        r#""membershipMode": "guess""#,
        r#"setting `membershipMode`: found "guess", allowed pushed, on_request"#,
    ),
    (
        r#""balancers": 5"#,
        r#""balancers": -5"#,
        "malformed settings: balancers: invalid value: integer `-5`, expected u32 at line 1 column 16",
    ),
    (
        r#""safety""#,
        r#""sagety""#,
        "malformed settings: missing field `safety` at line 9 column 115",
    ),
];

#[test]
fn an_invalid_setting_is_reported_with_its_key_the_value_found_and_the_values_allowed() {
    for (valid, invalid, expected) in INVALID_SETTINGS {
        let json = SETTINGS.replacen(valid, invalid, 1);
        assert_ne!(json, SETTINGS, "{valid} is not in the settings");
        let error = parse_settings(json.as_bytes()).expect_err(invalid);
        assert_eq!(error.to_string(), expected);
    }
    let no_classes = json_without_classes();
    let error = parse_settings(no_classes.as_bytes()).expect_err("there are no classes");
    assert_eq!(
        error.to_string(),
        "setting `classes`: found 0, allowed at least 1"
    );
}

/// The settings with an empty list of classes.
fn json_without_classes() -> String {
    let start = SETTINGS
        .find(r#""classes""#)
        .expect("the settings have classes");
    let end = SETTINGS
        .find(r#""tenants""#)
        .expect("the settings have tenants");
    format!(
        r#"{}"classes": [], {}"#,
        &SETTINGS[..start],
        &SETTINGS[end..]
    )
}
