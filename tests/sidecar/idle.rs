//! Idle times of any size in the settings.

use crate::ok;
use crate::stubs::*;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

// No idle time was given, one shorter than any rest, one that goes by the clock of no machine.
#[test]
fn connections_are_kept_as_long_as_the_settings_say_whatever_that_is() {
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
            // Longer than a connection rests.
            thread::sleep(Duration::from_millis(100));
        }
        assert_eq!(endpoint.made.load(Ordering::SeqCst), made, "{idle_close}");
    }
}
