//! Tests of `record.rs`.

use super::*;

#[test]
fn a_record_that_was_altered_truncated_or_moved_is_rejected() {
    let record = encode("a", "log", 7, b"posted");
    assert_eq!(decode("a", "log", 7, &record), Ok(&b"posted"[..]));
    for bit in 0..record.len() * 8 {
        let mut flipped = record.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        assert!(decode("a", "log", 7, &flipped).is_err(), "bit {bit}");
    }
    for length in 0..record.len() {
        assert!(
            decode("a", "log", 7, &record[..length]).is_err(),
            "{length} bytes"
        );
    }
    assert_eq!(decode("a", "log", 8, &record), Err(Corruption::Checksum));
    assert_eq!(decode("a", "hard", 7, &record), Err(Corruption::Checksum));
    assert_eq!(
        decode("b", "log", 7, &record),
        Err(Corruption::Owner("a".to_owned()))
    );
}

#[test]
fn a_newer_format_is_reported() {
    let mut record = encode("a", "log", 7, b"posted");
    record[2] = 2;
    assert_eq!(decode("a", "log", 7, &record), Err(Corruption::Format(2)));
}
