//! Lists with entries that can't be read.

use crate::ok;
use crate::stubs::*;

/// An entry with a name, as JSON, part of which is replaced by `odd`.
fn entry(name: &str, endpoint: &Endpoint, part: &str, odd: &str) -> String {
    let text = list(1, true, &[(name, endpoint.address, "active")]);
    let entry = &text[text.find("[{").expect("an entry") + 1..text.len() - 2];
    assert!(entry.contains(part), "{entry}");
    entry.replace(part, odd)
}

/// The changes of that version: `s-old` drains, and these entries.
fn changes(index: u64, old: &Endpoint, entries: &[String]) -> String {
    let leaves = entry("s-old", old, "active", "leaving");
    format!(
        "{{\"index\":{index},\"snapshot\":false,\"endpoints\":[{leaves},{}]}}",
        entries.join(",")
    )
}

/// Makes a sidecar apply these changes; they were applied if it continues from their version.
fn taken(endpoints: &[(&str, &Endpoint)], changes: &str) -> Sidecar {
    let agent = Agent::start();
    let sidecar = agent.sidecar("pushed", endpoints);
    for _ in 0..5 {
        let call = agent.call();
        if call.after() == Some(2) {
            return sidecar;
        }
        call.answer(changes);
    }
    panic!("it never went on from {changes}");
}

// Invariant: an unreadable field of one entry does not affect the other entries.
#[test]
fn an_unreadable_entry_does_not_affect_the_others() {
    let whole = [
        ("\"name\":\"s-odd\"", "\"name\":7"),
        ("\"name\":\"s-odd\",", ""),
        ("\"name\":\"s-odd\"", "\"name\":null"),
    ];
    let parts = [
        ("\"active\"", "\"resting\""),
        ("\"active\"", "null"),
        (",\"status\":\"active\"", ""),
        ("\"zone\":\"a\"", "\"zone\":4"),
        ("\"type\":\"m\"", "\"type\":{}"),
        ("\"group\":1", "\"group\":-1"),
        ("\"group\":1", "\"group\":null"),
        ("\"weight\":1.0", "\"weight\":null"),
        ("\"weight\":1.0", "\"weight\":\"much\""),
        ("\"since_ms\":0", "\"since_ms\":1.5"),
        ("\"since_ms\":0", "\"since_ms\":null"),
    ];
    for (part, odd) in whole.into_iter().chain(parts) {
        let (old, new, other) = three();
        let entries = [
            entry("s-odd", &other, part, odd),
            entry("s-new", &new, "active", "active"),
        ];
        let sidecar = taken(&[("s-old", &old)], &changes(2, &old, &entries));
        for _ in 0..4 {
            let answer = sidecar.ask(&request("book", "", "")).expect("an answer");
            assert_eq!(answer.status(), 200, "{odd}");
        }
        assert_eq!(old.requests(), 0, "{odd}");
        assert!(new.requests() > 0, "{odd}");
    }
}

// An entry with an unreadable state or address gets nothing: sending there may be wrong.
#[test]
fn an_entry_without_a_readable_state_or_address_gets_nothing() {
    let address = |e: &Endpoint| format!("\"{}\"", e.address);
    for (state, odd) in [
        (true, "\"draining\""),
        (true, "null"),
        (true, "3"),
        (false, "\"backend.internal:8443\""),
        (false, "null"),
        (false, "\"127.0.0.1\""),
        (false, "17"),
    ] {
        let (old, new, other) = three();
        let part = if state {
            "\"active\"".to_owned()
        } else {
            address(&other)
        };
        let entries = [
            entry("s-odd", &other, &part, odd),
            entry("s-new", &new, "active", "active"),
        ];
        let known = [("s-old", &old), ("s-odd", &other)];
        let sidecar = taken(&known, &changes(2, &old, &entries));
        for _ in 0..4 {
            assert_eq!(
                sidecar
                    .ask(&request("book", "", ""))
                    .expect("an answer")
                    .body,
                b"new",
                "{odd}"
            );
        }
        assert_eq!((old.requests(), other.requests()), (0, 0), "{odd}");
    }
}

// The cached list has the same form: it must not keep a sidecar from starting.
#[test]
fn a_cached_list_with_an_unreadable_entry_does_not_prevent_the_start() {
    let (agent, known, other) = (
        Agent::start(),
        Endpoint::start(|_| ok("known")),
        Endpoint::start(|_| ok("other")),
    );
    let odd = entry("s-odd", &other, "\"active\"", "\"odd\"");
    let sidecar = agent.sidecar_altered(&[("s-1", &known)], |config| {
        config.replace("\"endpoints\":[", &format!("\"endpoints\":[{odd},"))
    });
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .body,
        b"known"
    );
    assert_eq!(agent.call().after(), Some(1));
}

fn three() -> (Endpoint, Endpoint, Endpoint) {
    (
        Endpoint::start(|_| ok("old")),
        Endpoint::start(|_| ok("new")),
        Endpoint::start(|_| ok("other")),
    )
}
