//! Tests of `descriptors.rs`.

use super::*;

#[test]
fn descriptors_stay_in_reserve() {
    for sockets in [32, 256, 1024, 4096, usize::MAX] {
        let limits = ConnectionLimits::from_descriptors(sockets);
        assert!(limits.clients <= Semaphore::MAX_PERMITS, "{sockets}");
        assert!(
            limits.clients >= 1 && limits.clients + limits.upstream <= sockets - 16,
            "{sockets}"
        );
    }
}
