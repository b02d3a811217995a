//! Settings at their ends: each request gets its one answer, and nothing is repeated that may not
//! be.

use crate::ok;
use crate::stubs::*;

const ENDLESS: &str = "9223372036854775807";
/// The longest window that settings may name, in microseconds.
const MAX_WINDOW: &str = "1125899906842623";

fn altered(name: &str, from: &str, to: &str) -> impl Fn(String) -> String {
    let [from, to] = [from, to].map(|value| format!("\"{name}\":{value}"));
    move |config| {
        assert!(config.contains(&from), "{from}");
        config.replace(&from, &to)
    }
}

// What is over before the next tick is over at once: a repeat would run a second time.
#[test]
fn a_window_for_repeats_that_is_shorter_than_a_tick_allows_none() {
    for (window, copies) in [("0", 1), ("1", 1), ("5000", 1), (MAX_WINDOW, 3)] {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|_| Reply::Close);
        let alter = altered("KeyTtlUs", "5000000", window);
        let sidecar = Sidecar::start_altered(&discovery, &[("s-1", &endpoint)], 1024, alter);
        // By the page a client may repeat it wherever all endpoints drop repeats.
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
fn limits_at_their_ends_leave_each_request_its_answer() {
    for (name, from, to) in [
        ("MayCancel", "true", "false"),
        ("MayDuplicate", "true", "false"),
        ("MaxAttempts", "3", "1"),
        ("DialTimeoutUs", "5000000", "0"),
        ("DialTimeoutUs", "5000000", "-1"),
        ("DialTimeoutUs", "5000000", ENDLESS),
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
