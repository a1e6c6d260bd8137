//! The binary frames of the simulator's protocol and its settings: parsing, writing and errors for malformed input.

use tillerproxy::api::*;
use tillerproxy::simulator::frames::{
    BatchReader, ListId, ProxyId, Record, ReplyWriter, UpdateKind,
};
use tillerproxy::simulator::{FrameError, parse_settings};

/// Returns the bytes of hexadecimal digits; characters other than digits are ignored.
fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    let byte = |pair: &[u8]| {
        let pair = std::str::from_utf8(pair).expect("hexadecimal digits are ASCII");
        u8::from_str_radix(pair, 16).expect("only hexadecimal digits are left")
    };
    digits.chunks(2).map(byte).collect()
}

/// Parses all records of a batch that is given in hexadecimal digits. The bytes are leaked because the records refer
/// to them.
fn parse_records(text: &str) -> Result<Vec<Record<'static>>, FrameError> {
    let bytes: &'static [u8] = hex(text).leak();
    let mut reader = BatchReader::new(bytes)?;
    let mut records = Vec::new();
    while let Some(record) = reader.next_record()? {
        records.push(record);
    }
    Ok(records)
}

#[test]
fn an_empty_batch_has_a_time_and_no_records_and_an_empty_reply_has_length_0() {
    let bytes = hex("00000000 00000008 0000000000805c5a");
    let mut reader = BatchReader::new(&bytes).expect("the batch is complete");
    assert_eq!(reader.clock(), 0x0080_5c5a);
    assert_eq!(reader.next_record(), Ok(None));
    assert_eq!(ReplyWriter::default().finish(), hex("00000000"));
}

#[test]
fn records_of_two_proxies_are_read_in_order() {
    let read = parse_records(
        "00000005 00000045 0000000000805c5a
         02 00000002 0003
         0b 00000018 5d3a91c4 00 0000 91f03b7c55d20a64 0003a980 00002ee0 01
         06 00000004 0000004d
         02 00000002 0005
         08 00000004 0e6f2b19",
    )
    .expect("the batch is valid");
    assert_eq!(read[0], Record::SelectProxy(ProxyId(3)));
    let Some(Event::Request(request)) = read[1].event() else {
        panic!("expected a request: {:?}", read[1])
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
fn endpoint_lists_membership_updates_and_ends_of_attempts_are_read() {
    let read = parse_records(
        "00000003 00000066 0000000000805c5a
         00 00000032 0000 00000002
            03124a07 0000 00 0000 01 3f800000 0000000000000000
            2c9011f2 0001 00 0000 02 3fc00000 00000000005d1420
         07 00000007 02 00000029 0000
         04 00000016 5d3a91c4 03124a07 01 012e 0002 00004844 01 40200000",
    )
    .expect("the batch is valid");
    let Record::EndpointList {
        list: ListId(0),
        endpoints,
    } = read[0]
    else {
        panic!("expected an endpoint list: {:?}", read[0])
    };
    let backends = endpoints.parse().expect("the endpoints are valid");
    assert_eq!(
        (backends[0].id, backends[0].zone, backends[0].started_at),
        (BackendId(0x0312_4a07), Zone(0), None)
    );
    assert_eq!(backends[1].started_at, Some(0x5d_1420));
    assert_eq!(backends[1].readiness, Readiness::Draining);
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
fn malformed_input_is_reported_with_its_offset_in_the_batch() {
    let incomplete_record = parse_records("00000001 0000000d 0000000000805c5a 06 00000004")
        .expect_err("the fields of the record are missing");
    assert_eq!(incomplete_record.offset, 16);
    let short_field = parse_records("00000001 0000000f 0000000000805c5a 06 00000002 0000")
        .expect_err("the token has 2 of 4 bytes");
    assert_eq!(short_field.offset, 21);
    let uncounted_record = parse_records("00000000 0000000f 0000000000805c5a 08 00000002 0000")
        .expect_err("the batch has a record but a record count of 0");
    assert_eq!(
        (
            uncounted_record.offset,
            uncounted_record.kind.to_string().as_str()
        ),
        (
            16,
            "7 bytes after the last record, expected the end of the batch"
        )
    );
    let wrong_length = parse_records("00000000 00000009 0000000000805c5a")
        .expect_err("the batch has 8 bytes but a length of 9");
    assert_eq!(wrong_length.offset, 4);
    let unknown_outcome = parse_records(
        "00000001 00000020 0000000000805c5a
         01 00000013 0065 00000001 00000002 00 0000000000000000",
    )
    .expect_err("101 is the code of no outcome");
    assert_eq!(unknown_outcome.offset, 21);
}

#[test]
fn an_unknown_readiness_is_reported_with_its_offset_in_the_batch() {
    let read = parse_records(
        "00000001 0000003f 0000000000805c5a
         00 00000032 0000 00000002
            03124a07 0000 00 0000 01 3f800000 0000000000000000
            2c9011f2 0001 00 0000 03 3fc00000 00000000005d1420",
    );
    let read = read.expect("the readiness of endpoints is not checked while records are read");
    let Record::EndpointList { endpoints, .. } = read[0] else {
        panic!("expected an endpoint list: {:?}", read[0])
    };
    let error = endpoints
        .parse()
        .expect_err("3 is the code of no readiness");
    assert_eq!(
        error.to_string(),
        "invalid input at byte 58 of the batch: readiness of an endpoint is 3, expected 0 to 2"
    );
}

#[test]
fn an_unknown_kind_of_membership_update_is_reported_with_its_offset_in_the_batch() {
    let error = parse_records("00000001 00000014 0000000000805c5a 07 00000007 04 00000029 0000")
        .expect_err("4 is the code of no kind of update");
    assert_eq!(
        error.to_string(),
        "invalid input at byte 21 of the batch: scope of a `membership` record is 4, expected 0 to 3"
    );
}

#[test]
fn each_record_of_an_event_is_converted_to_that_event() {
    let read = parse_records(
        "00000006 00000079 0000000000805c5a
         03 0000000e 00000011 00000000 0002 00000013
         04 0000001a 00000021 00000022 00 0131 0003 00000024 02 3f800000 40000000
         01 0000000b 0064 00000000 00000031 00
         08 00000004 00000041
         06 00000004 00000051
         0b 00000018 00000061 02 0003 0000000000000000 00000064 00000065 02",
    )
    .expect("the batch is valid");
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
    assert!(
        Record::CrashProxy.event().is_none() && Record::Gossip.event().is_none(),
        "expected no event of the other records"
    );
}

#[test]
fn a_record_with_an_unknown_code_is_skipped_and_the_next_one_is_read() {
    let read = parse_records(
        "00000002 0000001c 0000000000805c5a c8 00000006 010203040506 06 00000004 00000001",
    );
    assert_eq!(
        read,
        Ok(vec![Record::Unknown(200), Record::TimerFired { token: 1 }])
    );
}

#[test]
fn each_action_is_written_as_its_record_after_a_record_that_selects_the_proxy() {
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

/// Valid settings, with some keys that are unknown.
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
    let settings = parse_settings(SETTINGS.as_bytes()).expect("the settings are valid");
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

/// Settings with distinct numbers, so that a value in the wrong field is detected.
const DISTINCT_SETTINGS: &str = r#"{"me": 2, "balancers": 5, "zone": 1, "failureDomains": ["a", "b", "c"], "kinds": ["x", "y"],
        "membershipMode": "pushed", "familyInfo": {"warmKeys": true}, "overShareWorth": 0.11,
        "classes": [{"aimUs": 21, "aimStretch": 0.22, "deadlineUs": 23, "worth": 24.0, "lateWorth": 0.25,
                     "effect": "dedup", "group": "zone", "keyTtlUs": 26}],
        "tenants": [{"allowancePerS": 31.0}, {}], "penalties": {"crossZone": 0.41, "probe": 0.42},
        "loadReport": {"fields": ["waiting", "other", "active", "avg_ms"], "via": "probe"},
        "permissions": {"maxAttempts": 51, "secondCopies": false, "cancel": true, "probes": false, "connIdleUs": 52,
                        "multiplex": 53, "retryAfter": true, "maxRetryAfterUs": 54},
        "safety": {"askWithinUs": 61, "coldFrom": 0.62, "coldUs": 63, "fallMultiple": 64.0, "fallUs": 65}}"#;

/// Returns the expected result of reading [`DISTINCT_SETTINGS`].
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
    let settings = parse_settings(DISTINCT_SETTINGS.as_bytes()).expect("the settings are valid");
    assert_eq!(
        format!("{settings:?}"),
        format!("{:?}", distinct_settings())
    );
    for (key, field) in [("secondCopies", "hedging"), ("probes", "health_checks")] {
        let permitted =
            DISTINCT_SETTINGS.replace(&format!("\"{key}\": false"), &format!("\"{key}\": true"));
        let settings = parse_settings(permitted.as_bytes()).expect("the settings are valid");
        let text = format!("{:?}", settings.permissions);
        assert!(
            text.contains(&format!("{field}: true")),
            "expected {field} to be true after {key} was set: {text}"
        );
    }
}

/// An invalid value of one setting.
struct InvalidSetting {
    /// Text in [`SETTINGS`] that is replaced.
    valid: &'static str,
    /// Replacement for `valid`.
    invalid: &'static str,
    /// Text of the expected error.
    error: &'static str,
}

const INVALID_SETTINGS: [InvalidSetting; 16] = [
    InvalidSetting {
        valid: r#""balancers": 5"#,
        invalid: r#""balancers": 0"#,
        error: "setting `balancers`: found 0, allowed at least 1",
    },
    InvalidSetting {
        valid: r#""aimUs": 500000"#,
        invalid: r#""aimUs": 0"#,
        error: "setting `classes[0].aimUs`: found 0, allowed above 0",
    },
    InvalidSetting {
        valid: r#""deadlineUs": 900000"#,
        invalid: r#""deadlineUs": 499999"#,
        error: "setting `classes[0].deadlineUs`: found 499999, allowed at least 500000, the value of `classes[0].aimUs`",
    },
    InvalidSetting {
        valid: r#""worth": 2.0"#,
        invalid: r#""worth": -2.5"#,
        error: "setting `classes[0].worth`: found -2.5, allowed 0 or more",
    },
    InvalidSetting {
        valid: r#""lateWorth": 0.5"#,
        invalid: r#""lateWorth": 1.5"#,
        error: "setting `classes[0].lateWorth`: found 1.5, allowed 0 to 1",
    },
    InvalidSetting {
        valid: r#""lateWorth": 0.5"#,
        invalid: r#""lateWorth": 0.5, "aimStretch": -0.1"#,
        error: "setting `classes[0].aimStretch`: found -0.1, allowed 0 or more",
    },
    InvalidSetting {
        valid: r#""effect": "dedup""#,
        invalid: r#""effect": "magic""#,
        error: r#"setting `classes[0].effect`: found "magic", allowed retryable, dedup, fragile"#,
    },
    InvalidSetting {
        valid: r#""group": "cell""#,
        invalid: r#""group": "moon""#,
        error: r#"setting `classes[0].group`: found "moon", allowed all, zone, cell"#,
    },
    InvalidSetting {
        valid: r#""allowancePerS": 12.5"#,
        invalid: r#""allowancePerS": 1.0}, {"allowancePerS": -1.0"#,
        error: "setting `tenants[1].allowancePerS`: found -1, allowed 0 or more",
    },
    InvalidSetting {
        valid: r#""overShareWorth": 0.1"#,
        invalid: r#""overShareWorth": -0.1"#,
        error: "setting `overShareWorth`: found -0.1, allowed 0 to 1",
    },
    InvalidSetting {
        valid: r#""maxAttempts": 5"#,
        invalid: r#""maxAttempts": 0"#,
        error: "setting `permissions.maxAttempts`: found 0, allowed at least 1",
    },
    InvalidSetting {
        valid: r#""coldFrom": 0.33"#,
        invalid: r#""coldFrom": 7"#,
        error: "setting `safety.coldFrom`: found 7, allowed 0 to 1",
    },
    InvalidSetting {
        valid: r#""fallMultiple": 3.0"#,
        invalid: r#""fallMultiple": 0.0"#,
        error: "setting `safety.fallMultiple`: found 0, allowed above 0",
    },
    InvalidSetting {
        valid: r#""membershipMode": "on_request""#,
        invalid: r#""membershipMode": "guess""#,
        error: r#"setting `membershipMode`: found "guess", allowed pushed, on_request"#,
    },
    InvalidSetting {
        valid: r#""balancers": 5"#,
        invalid: r#""balancers": -5"#,
        error: "malformed settings: balancers: invalid value: integer `-5`, expected u32 at line 1 column 16",
    },
    InvalidSetting {
        valid: r#""safety""#,
        invalid: r#""sagety""#,
        error: "malformed settings: missing field `safety` at line 9 column 115",
    },
];

#[test]
fn an_invalid_setting_is_reported_with_its_key_the_value_found_and_the_values_allowed() {
    for InvalidSetting {
        valid,
        invalid,
        error: expected_error,
    } in INVALID_SETTINGS
    {
        let json = SETTINGS.replacen(valid, invalid, 1);
        assert_ne!(json, SETTINGS, "expected {valid} in the valid settings");
        let error = parse_settings(json.as_bytes()).expect_err(invalid);
        assert_eq!(error.to_string(), expected_error);
    }
    let settings_without_classes = settings_without_classes();
    let error = parse_settings(settings_without_classes.as_bytes())
        .expect_err("at least one class is required");
    assert_eq!(
        error.to_string(),
        "setting `classes`: found 0, allowed at least 1"
    );
}

/// Returns [`SETTINGS`] with an empty list of classes.
fn settings_without_classes() -> String {
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
