//! Tests of `ring` that need its private state.

use super::*;

#[test]
fn bytes_keep_their_order_across_wraps() {
    let mut ring = Ring::new(5000);
    let (mut put, mut got) = (0u32, 0u32);
    for step in 0..4000usize {
        let chunk: Vec<u8> = (0..step % 97).map(|i| (put + i as u32) as u8).collect();
        if ring.push(&chunk) {
            put += chunk.len() as u32;
        }
        let n = (step % 89).min(ring.len());
        let out = ring.copy(0, n).unwrap();
        assert!(out.iter().enumerate().all(|(i, b)| *b == (got + i as u32) as u8), "step {step}");
        ring.consume(n);
        got += n as u32;
    }
    assert!(put > 100_000 && ring.len() == (put - got) as usize);
}

#[test]
fn a_full_ring_rejects_bytes_and_keeps_its_content() {
    let mut ring = Ring::new(8);
    assert!(ring.push(b"abcdef") && !ring.push(b"ghi") && ring.push(b"gh"));
    assert_eq!((ring.room(), ring.copy(0, 8).unwrap().as_slice()), (0, &b"abcdefgh"[..]));
    assert_eq!(ring.copy(3, 6), None);
}

#[test]
fn a_line_end_is_found_across_the_wrap() {
    let mut ring = Ring::new(8);
    ring.push(b"xxxxx");
    ring.consume(4);
    ring.push(b"ab\r");
    assert_eq!(ring.find_line_end(), None);
    ring.push(b"\nz");
    assert_eq!(ring.find_line_end(), Some(3));
}

/// A client that reads all but the last bytes of long answers would hold the storage of all of them.
#[test]
fn a_ring_that_is_drained_to_its_last_bytes_gives_its_storage_back() {
    let mut ring = Ring::new(8 << 20);
    let bytes: Vec<u8> = (0..5 << 20).map(|i| i as u8).collect();
    assert!(ring.push(&bytes));
    while ring.len() > 1000 {
        ring.consume(777.min(ring.len() - 1000));
        assert!(ring.buf.len() <= LARGE_CAPACITY_BYTES.max(MAX_CAPACITY_MULTIPLE * 2 * ring.len()));
    }
    assert_eq!(ring.copy(0, 1000).unwrap(), bytes[bytes.len() - 1000..]);
    assert!(ring.buf.len() <= LARGE_CAPACITY_BYTES, "{}", ring.buf.len());
}
