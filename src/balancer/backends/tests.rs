//! Tests of the table of backends: conditions under which a key is reused.

use super::*;

fn listed(id: u32) -> BackendState {
    BackendState {
        id: BackendId(id),
        listed: true,
        ..BackendState::default()
    }
}

fn unlist(backends: &mut BackendTable, key: BackendKey) {
    backends[key].listed = false;
    backends.remove_if_unused(key);
}

#[test]
fn new_backends_reuse_the_keys_of_removed_ones() {
    let mut backends = BackendTable::default();
    for id in 0..1_000_u32 {
        let last = backends.find(BackendId(id.wrapping_sub(1)));
        backends.insert(listed(id));
        if let Some(key) = last {
            unlist(&mut backends, key);
        }
    }
    assert!(
        backends.keys().count() <= 2,
        "{} entries",
        backends.keys().count()
    );
    assert_eq!(backends.by_id.len(), 1);
}

#[test]
fn a_key_is_not_reused_while_a_request_refers_to_it() {
    let mut backends = BackendTable::default();
    let first = backends.insert(listed(1));
    backends[first].references = 2;
    unlist(&mut backends, first);
    backends.release(first);
    assert_ne!(
        backends.insert(listed(2)),
        first,
        "one attempt still refers to the first backend"
    );
    backends.release(first);
    assert_eq!(backends.find(BackendId(1)), None);
    assert_eq!(backends.insert(listed(3)), first);
}
