use super::*;
use crate::proxy::clock::Clock;
use crate::settings_json::Names;
use serde_json::{Value, json};

#[test]
fn names_of_removed_backends_are_dropped_and_the_others_keep_their_ids() {
    let names = Names {
        zones: vec!["a".into()],
        ..Names::default()
    };
    let mut translator = Translator::new(Clock::start(), &names);
    let entry = |id: String, phase: &str| json!({"id": id, "host_port": "127.0.0.1:9", "locality": "a", "phase": phase, "up_since_ms": 1});
    let mut list = |complete: bool, members: Vec<Value>| {
        let list = translator
            .parse_value(&json!({"revision": 1, "complete": complete, "members": members}));
        let ids = list
            .expect("the endpoint list is valid")
            .endpoints
            .iter()
            .map(|e| e.backend.id)
            .collect::<Vec<_>>();
        (
            ids,
            translator.backend_ids.name_count(),
            translator.backend_ids.assigned_count(),
            translator.start_times.len(),
        )
    };
    let (first, ..) = list(true, vec![entry("stays".into(), "active")]);
    for n in 0..100 {
        list(false, vec![entry(format!("s-{n}"), "active")]);
        list(false, vec![entry(format!("s-{n}"), "left")]);
    }
    let delta = list(false, vec![entry("stays".into(), "leaving")]);
    assert_eq!(delta, (first, 1, 1, 1));
    list(
        false,
        (0..100)
            .map(|n| entry(format!("t-{n}"), "active"))
            .collect(),
    );
    let (_, names, ids, start_times) = list(true, vec![entry("stays".into(), "active")]);
    assert_eq!((names, ids, start_times), (1, 1, 1));
}

#[test]
fn escaped_names_and_malformed_endpoints_leave_the_other_endpoints_usable() {
    let names = Names {
        zones: vec!["zone \"a\"".into()],
        ..Names::default()
    };
    let mut translator = Translator::new(Clock::start(), &names);
    let member = |id: &str| {
        format!(
            r#"{{"id":{id},"host_port":"127.0.0.1:9","locality":"zone \"a\"","phase":"active"}}"#
        )
    };
    let text = format!(
        r#"{{"complete":true,"members":[{},7,{{"id":"half"}},{}],"revision":3}}"#,
        member(r#""s-\u0031""#),
        member(r#""s-2""#)
    );
    let list = translator
        .parse(text.as_bytes())
        .expect("the endpoint list is valid");
    assert_eq!(
        (list.revision, list.is_complete, list.endpoints.len()),
        (3, true, 2)
    );
    let mut ids = [
        translator.backend_ids.get_or_assign("s-1"),
        translator.backend_ids.get_or_assign("s-2"),
    ];
    ids.sort_unstable();
    let mut listed: Vec<_> = list
        .endpoints
        .iter()
        .map(|entry| entry.backend.id)
        .collect();
    listed.sort_unstable();
    assert_eq!(listed, ids, "escape sequences in names are decoded");
}

#[test]
fn a_backend_listed_as_removed_and_then_as_ready_keeps_its_id() {
    let names = Names {
        zones: vec!["a".into()],
        ..Names::default()
    };
    let mut translator = Translator::new(Clock::start(), &names);
    let entry = |phase: &str| json!({"id": "s-1", "host_port": "127.0.0.1:9", "locality": "a", "phase": phase});
    let both = json!({"revision": 1, "members": [entry("left"), entry("active")]});
    let list = translator
        .parse_value(&both)
        .expect("the endpoint list is valid");
    assert_eq!(list.endpoints.len(), 2);
    assert_eq!(
        (
            translator.backend_ids.name_count(),
            translator.backend_ids.assigned_count()
        ),
        (1, 1)
    );
}

#[test]
fn an_endpoint_whose_phase_is_unknown_or_not_text_is_skipped() {
    let names = Names {
        zones: vec!["a".into()],
        ..Names::default()
    };
    let mut translator = Translator::new(Clock::start(), &names);
    let phases = [
        json!("active"),
        json!("resting"),
        json!({"active": null}),
        json!(1),
    ];
    let member = |phase: &Value| json!({"id": "s-1", "host_port": "127.0.0.1:9", "locality": "a", "phase": phase});
    let members: Vec<Value> = phases.iter().map(member).collect();
    let list = translator.parse_value(&json!({"revision": 1, "members": members}));
    assert_eq!(list.expect("the endpoint list is valid").endpoints.len(), 1);
}
