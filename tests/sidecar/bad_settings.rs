//! Configurations with one defect each: the program either exits with a one-line message or serves.
//! At SIGHUP the same defect causes one log line, and the old configuration stays in effect.

mod starts;

use crate::ok;
use crate::stubs::*;
use serde_json::{Value, json};
use starts::{Start, start};
use std::fs::File;
use std::net::SocketAddr;
use std::sync::OnceLock;

/// Every field that is read, by its path in the file.
const FIELDS: &str = include_str!("bad_settings/fields.txt");

/// Values that replace a field's value, as JSON; `-` removes the field.
const DEFECTS: [&str; 14] = [
    "-",
    "null",
    "true",
    "\"odd\"",
    "\"odd\\nline\"",
    "\"\"",
    "[]",
    "{}",
    "0",
    "-1",
    "-9223372036854775808",
    "9223372036854775807",
    "18446744073709551615",
    "1e300",
];

/// A file that has no fields.
const WHOLE: [&str; 9] = [
    "",
    "{",
    "null",
    "[]",
    "{}",
    "\u{feff}{}",
    "{\"settings\":NaN}",
    "{\"settings\":1e999}",
    "\u{0}",
];

/// Defects that are accepted because the field then counts as absent or has no effect: one line per
/// field, with the accepted defects.
const ACCEPTED_DEFECTS: &str = include_str!("bad_settings/taken.txt");

/// A valid configuration with every field.
fn whole(listen: SocketAddr, discovery: SocketAddr, endpoint: SocketAddr) -> Value {
    /// The peers' datagram address; shared by all tests, as each reserved address is kept until
    /// they end.
    static PEERS: OnceLock<[SocketAddr; 2]> = OnceLock::new();
    let known = list(1, true, &[("s-1", endpoint, "active")]);
    let mut file: Value =
        serde_json::from_str(&config(listen, discovery, &known)).expect("a good file");
    let [own, spare] = PEERS.get_or_init(|| [unused_datagram_address(), unused_datagram_address()]);
    (file["peer_listen"], file["peers"], file["peers_all"]) =
        (json!(own), json!([spare]), json!(spare));
    let settings = &mut file["settings"];
    for (field, value) in [
        ("Clients", json!({"MarksRetry": true})),
        ("CountedBy", json!("request")),
        ("Goal", json!({"Whole": 0.85})),
        ("OverShareWorth", json!(0.1)),
        ("Prices", json!({"CrossZone": 0.1})),
        ("Report", json!({"Source": "pull"})),
    ] {
        settings[field] = value;
    }
    for (field, value) in [
        ("MaxRetryAfterUs", json!(2_000_000)),
        ("Peers", json!(false)),
        ("Probes", json!(false)),
        ("RetryAfter", json!(true)),
    ] {
        settings["Limits"][field] = value;
    }
    settings["Rules"]["AnswerSlackUs"] = json!(20_000);
    let lane = &mut settings["Lanes"][0];
    (lane["AimStretch"], lane["LateShare"]) = (json!(0.5), json!(0.1));
    (lane["Streaming"], lane["Worth"]) = (json!(false), json!(2.0));
    file
}

/// The file with one defective field.
fn damaged(file: &Value, field: &str, damage: &str) -> String {
    let mut file = file.clone();
    let (parent, name) = field.rsplit_once('/').expect("a place");
    let parent = file
        .pointer_mut(parent)
        .expect("the good file names every field");
    match (damage, parent) {
        ("-", Value::Object(fields)) => drop(fields.remove(name).expect("it is there")),
        ("-", Value::Array(values)) => values.clear(),
        (damage, parent) => {
            let place = match parent {
                Value::Array(values) => &mut values[0],
                other => other
                    .get_mut(name)
                    .expect("the good file names every field"),
            };
            *place = serde_json::from_str(damage).expect("a value");
        }
    }
    file.to_string()
}

fn taken(field: &str, damage: &str) -> bool {
    let line = ACCEPTED_DEFECTS
        .lines()
        .find_map(|l| l.strip_prefix(&format!("{field} = ")));
    line.is_some_and(|damages| damages.split("  ").any(|d| d == damage))
}

#[test]
fn each_defect_ends_the_start_with_a_one_line_message_or_is_listed_as_accepted() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let (mut wrong, listen) = (Vec::new(), unused_address());
    for field in FIELDS.split_whitespace() {
        let mut line = Vec::new();
        for damage in DEFECTS {
            let text = damaged(
                &whole(listen, discovery.address, endpoint.address),
                field,
                damage,
            );
            let started = start(&text, listen);
            let serving = started == Start::Serving;
            if serving {
                line.push(damage);
            }
            if serving != taken(field, damage) {
                wrong.push(format!("{field} {damage}: {started:?}"));
            }
        }
        if !line.is_empty() {
            println!("{field} = {}", line.join("  "));
        }
    }
    for text in WHOLE {
        assert!(matches!(start(text, listen), Start::Refused(_)), "{text}");
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test]
fn settings_that_confuse_classes_or_permit_a_second_execution_are_rejected() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let mut wrong = Vec::new();
    for (what, from, to) in [
        (
            "two classes of one name",
            "\"Name\":\"book\"",
            "\"Name\":\"look\"",
        ),
        (
            "a class without a name",
            "\"Name\":\"book\"",
            "\"Name\":\"\"",
        ),
        (
            "two tenants of one name",
            "[{\"Name\":\"acme\"",
            "[{\"Name\":\"acme\"},{\"Name\":\"acme\"",
        ),
        (
            "an unknown scope of repeats",
            "\"DedupScope\":\"all\"",
            "\"DedupScope\":\"rack\"",
        ),
        (
            "a window before its send",
            "\"KeyTtlUs\":5000000",
            "\"KeyTtlUs\":-9223372036854775808",
        ),
        ("no classes", "\"Lanes\":[", "\"Lanes\":[],\"Others\":["),
        (
            "more descriptors than can be counted",
            "\"sockets\":1024",
            "\"sockets\":18446744073709551616",
        ),
    ] {
        let listen = unused_address();
        let good = config(
            listen,
            discovery.address,
            &list(1, true, &[("s-1", endpoint.address, "active")]),
        );
        let text = good.replace(from, to);
        assert_ne!(text, good, "{what}");
        if start(&text, listen) == Start::Serving {
            wrong.push(what);
        }
    }
    assert!(wrong.is_empty(), "taken: {wrong:?}");
}

// Retries of a class without a deduplication scope go to servers that certainly deduplicate: those
// of the same cell.
#[test]
fn a_class_without_a_deduplication_scope_is_retried_only_in_its_cell() {
    let discovery = Discovery::start();
    let endpoints = [(); 3].map(|()| Endpoint::start(|_| Reply::Close));
    let known: Vec<_> = ["s-1", "s-2", "s-3"].into_iter().zip(&endpoints).collect();
    let sidecar = Sidecar::start_altered(&discovery, &known, 1024, |text| {
        let text = text.replace("\"DedupScope\":\"all\",", "");
        (1..=3).fold(text, |text, cell| {
            text.replacen("\"group\":1,", &format!("\"group\" :{},", cell + 1), 1)
        })
    });
    // A rejection would make the client retry through another sidecar, at any server.
    assert_eq!(
        sidecar
            .ask(&request("pay", "", ""))
            .expect("an answer")
            .status(),
        502
    );
    let reached: Vec<_> = endpoints
        .iter()
        .map(Endpoint::requests)
        .filter(|n| *n > 0)
        .collect();
    assert!(reached.len() == 1 && reached[0] > 1, "{reached:?}");
}

#[test]
fn a_defective_configuration_at_a_reload_logs_one_line_and_the_old_one_stays() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let said = config_file("");
    let log = File::create(&said).expect("a file");
    let mut sidecar = Sidecar::start_adapted(
        &discovery,
        &[("s-1", &endpoint)],
        1024,
        |text| text,
        |command| {
            command
                .stderr(log)
                .env_remove("LB_LISTEN")
                .env_remove("LB_DISCOVERY");
        },
    );
    let good = whole(sidecar.address, discovery.address, endpoint.address);
    let fields = FIELDS.split_whitespace();
    let all = fields.flat_map(|field| DEFECTS.map(|damage| (field, damage)));
    let refused: Vec<_> = all
        .filter(|(field, damage)| !taken(field, damage))
        .collect();
    let texts = refused
        .iter()
        .map(|(field, damage)| damaged(&good, field, damage));
    let lines = || {
        let said = std::fs::read_to_string(&said).expect("text");
        let whole = said
            .split_inclusive('\n')
            .filter(|l| l.ends_with('\n') && l.contains("reload"));
        whole.map(str::to_owned).collect::<Vec<_>>()
    };
    for (n, text) in texts.chain(WHOLE.map(str::to_owned)).enumerate() {
        sidecar.reconfigure(|_| text.clone());
        wait_until("the reload is answered", || lines().len() > n);
        let last = lines().swap_remove(n);
        assert!(
            last.starts_with("sidecar: reload failed, the old configuration stays: "),
            "{last}: {text}"
        );
    }
    assert_eq!(sidecar.process.try_wait().expect("it can be asked"), None);
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .status(),
        200
    );
    // Discovery is followed at the old address.
    discovery.publish(2, list(2, false, &[("s-1", endpoint.address, "leaving")]));
    discovery.wait_for_watch(2);
    assert_eq!(
        sidecar
            .ask(&request("book", "", ""))
            .expect("an answer")
            .status(),
        503
    );
    let _ = std::fs::remove_file(said);
}
