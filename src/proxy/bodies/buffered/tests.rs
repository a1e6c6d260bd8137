use super::*;

#[test]
fn a_body_is_held_in_pieces_of_one_size() {
    let whole: Vec<u8> = (0..700_000_u32).map(|i| (i / 3) as u8).collect();
    for size in [13, 9_000, 700_000] {
        let mut gathered = BodyBuffer::default();
        for piece in whole.chunks(size) {
            gathered.add(Bytes::copy_from_slice(piece));
        }
        assert_eq!(gathered.len(), whole.len());
        let held = gathered.take();
        assert_eq!(held.size_hint().exact(), Some(whole.len() as u64));
        assert!(held.joined() == whole);
        // A copied piece has one size, whatever sizes came.
        let sizes: Vec<_> = held.pieces.iter().map(Bytes::len).collect();
        let (last, others) = sizes.split_last().expect("a piece");
        assert!(
            others.iter().all(|&len| len == BUFFERED_BODY_BYTES)
                && *last <= BUFFERED_BODY_BYTES.max(size),
            "{sizes:?}"
        );
    }
}
