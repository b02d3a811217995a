//! Idle timeouts of any length in the settings.

use crate::ok;
use crate::stubs::*;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

// No idle timeout, one shorter than the reuse delay, and one beyond the range of any clock.
#[test]
fn connections_are_kept_for_any_configured_idle_timeout() {
    for (idle_close, made) in [("0", 1), ("-5", 1), ("1", 3), ("9223372036854775807", 1)] {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|_| ok("served"));
        let sidecar = Sidecar::start_altered(&discovery, &[("s-1", &endpoint)], 1024, |config| {
            config.replace(
                "\"IdleCloseUs\":2000000",
                &format!("\"IdleCloseUs\":{idle_close}"),
            )
        });
        for _ in 0..3 {
            assert_eq!(
                sidecar
                    .ask(&request("book", "", ""))
                    .expect("an answer")
                    .status(),
                200
            );
            // Longer than the reuse delay.
            thread::sleep(Duration::from_millis(100));
        }
        assert_eq!(endpoint.made.load(Ordering::SeqCst), made, "{idle_close}");
    }
}
