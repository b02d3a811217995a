//! Settings at their limits: each request gets exactly one answer, and nothing is retried that must
//! not be.

use crate::ok;
use crate::stubs::*;

const MAX_MICROS: &str = "9223372036854775807";
/// The longest deduplication window in the settings, in microseconds.
const MAX_WINDOW: &str = "1125899906842623";

fn altered(name: &str, from: &str, to: &str) -> impl Fn(String) -> String {
    let [from, to] = [from, to].map(|value| format!("\"{name}\":{value}"));
    move |config| {
        assert!(config.contains(&from), "{from}");
        config.replace(&from, &to)
    }
}

// A window that is over before the next tick counts as over at once: a retry would run a second
// time.
#[test]
fn a_deduplication_window_shorter_than_a_tick_permits_no_retries() {
    for (window, copies) in [("0", 1), ("1", 1), ("5000", 1), (MAX_WINDOW, 3)] {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|_| Reply::Close);
        let alter = altered("KeyTtlUs", "5000000", window);
        let sidecar = Sidecar::start_altered(&discovery, &[("s-1", &endpoint)], 1024, alter);
        // The client may retry wherever all endpoints deduplicate.
        assert_eq!(
            sidecar
                .ask(&request("pay", "", "{}"))
                .expect("an answer")
                .status(),
            503,
            "{window}"
        );
        assert_eq!(endpoint.requests(), copies, "{window}");
    }
}

#[test]
fn with_limits_at_their_extremes_each_request_gets_its_answer() {
    for (name, from, to) in [
        ("MayCancel", "true", "false"),
        ("MayDuplicate", "true", "false"),
        ("MaxAttempts", "3", "1"),
        ("DialTimeoutUs", "5000000", "0"),
        ("DialTimeoutUs", "5000000", "-1"),
        ("DialTimeoutUs", "5000000", MAX_MICROS),
        ("IdleCloseUs", "2000000", "0"),
        ("TickUs", "5000", "0"),
        ("DeadlineUs", "20000000", "1"),
    ] {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|message| match message.header("x-silent") {
            Some(_) => Reply::Silence,
            None => ok("served"),
        });
        let alter = altered(name, from, to);
        let sidecar = Sidecar::start_altered(&discovery, &[("s-1", &endpoint)], 1024, alter);
        for class in ["look", "book", "pay"] {
            let answer = sidecar.ask(&request(class, "", "")).expect("an answer");
            assert_eq!(answer.body, b"served", "{name} {to} {class}");
            let silent = request(class, "X-Silent: 1\r\n", "").replace("19000m", "200m");
            let status = sidecar.ask(&silent).expect("an answer").status();
            assert!(
                status >= 500 && (class != "book" || status != 503),
                "{name} {to} {class}: {status}"
            );
            let none = request(class, "", "").replace("19000m", "0m");
            assert!(
                sidecar.ask(&none).expect("an answer").status() >= 500,
                "{name} {to} {class}"
            );
        }
    }
}
