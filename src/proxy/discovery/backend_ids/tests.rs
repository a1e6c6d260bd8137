use super::*;

#[test]
fn names_with_the_same_hash_get_different_ids() {
    // A known collision of FNV-1a.
    let [first, second] = ["costarring", "liquid"];
    assert_eq!(fnv1a(first.as_bytes()), fnv1a(second.as_bytes()));
    let mut ids = BackendIds::default();
    let first_id = ids.get_or_assign(first);
    let second_id = ids.get_or_assign(second);
    assert_eq!(first_id, BackendId(fnv1a(first.as_bytes())));
    assert_eq!(second_id, BackendId(first_id.0.wrapping_add(1)));
    assert_eq!(ids.get_or_assign(first), first_id);
    ids.remove(first);
    assert_eq!((ids.get(first), ids.get(second)), (None, Some(second_id)));
}

#[test]
fn an_id_is_the_same_in_each_process() {
    let mut ids = BackendIds::default();
    assert_eq!(ids.get_or_assign("foobar"), BackendId(0xbf9c_f968));
}
