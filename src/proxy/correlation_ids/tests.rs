use super::*;

fn id(number: usize) -> HeaderValue {
    HeaderValue::try_from(number.to_string()).expect("digits are valid")
}

#[test]
fn an_id_is_free_again_after_its_request_unless_it_may_have_run() {
    let ids = CorrelationIds::new();
    let claimed = ids.claim(&id(1)).expect("the id is new");
    assert!(ids.claim(&id(1)).is_none());
    drop(claimed);
    let claimed = ids.claim(&id(1)).expect("the first request did not run");
    let executions = claimed.executions();
    drop(claimed);
    executions.begin_attempt();
    assert!(ids.claim(&id(1)).is_none());
    executions.forget();
    assert!(ids.claim(&id(1)).is_some());
}

/// Guards against memory that grows with ever new ids.
#[test]
fn the_number_of_remembered_ids_is_bounded() {
    let ids = CorrelationIds::new();
    for number in 0..5 * MAX_GENERATION_IDS {
        let claimed = ids.claim(&id(number)).expect("the id is new");
        claimed.executions().begin_attempt();
    }
    let executed = ids.executed.borrow();
    assert!(executed.young.len() + executed.old.len() <= 2 * MAX_GENERATION_IDS);
    assert!(executed.contains(ids.hash(&id(5 * MAX_GENERATION_IDS - 1))));
}
