use super::*;

#[test]
fn a_buffered_body_keeps_its_bytes_in_pieces_of_one_size() {
    let whole: Vec<u8> = (0..700_000_u32).map(|i| (i / 3) as u8).collect();
    for size in [13, 9_000, 700_000] {
        let mut buffer = BodyBuffer::default();
        for piece in whole.chunks(size) {
            buffer.add(Bytes::copy_from_slice(piece));
        }
        assert_eq!(buffer.len(), whole.len());
        let held = buffer.take();
        assert_eq!(held.size_hint().exact(), Some(whole.len() as u64));
        assert!(held.joined() == whole);
        // All copied pieces but the last have one size, whatever the sizes of the added data.
        let sizes: Vec<_> = held.pieces.iter().map(Bytes::len).collect();
        let (last, others) = sizes.split_last().expect("the body is not empty");
        assert!(
            others.iter().all(|&len| len == BUFFERED_BODY_BYTES)
                && *last <= BUFFERED_BODY_BYTES.max(size),
            "{sizes:?}"
        );
    }
}
