//! Tests of `write_progress.rs`.

use super::*;

// An endpoint starts a request after its last byte: one byte short it was not executed.
#[test]
fn a_meter_tells_the_last_byte_from_the_one_before() {
    let request = b"POST /api HTTP/1.1\r\nA: b\r\n\r\n{\r\n\r\n}";
    for cut in 1..request.len() {
        let progress = WriteProgress::new(6);
        assert!(!progress.has_started());
        progress.record_written(&request[..cut]);
        assert!(
            progress.has_started() && !progress.is_complete(),
            "after {cut}"
        );
        progress.record_written(&request[cut..]);
        assert!(progress.is_complete());
    }
    let progress = WriteProgress::new(0);
    progress.record_written(b"GET / HTTP/1.1\r\n\r");
    assert!(!progress.is_complete());
    progress.record_written(b"\n");
    assert!(progress.is_complete());
}
