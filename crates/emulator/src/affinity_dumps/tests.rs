//! Tests of `affinity_dumps.rs`.

use super::*;
use serde_json::json;

#[test]
fn a_page_is_parsed_and_unknown_servers_are_ignored() {
    let servers = HashMap::from([("a".to_owned(), 3)]);
    let binding = |server: &str| json!({"key": 7, "server": server, "started_ms": 5, "epoch": 1, "ends": 9, "held": true});
    let page = json!({"slot": 8, "hears": true, "bindings": [binding("a"), binding("b"), {"key": 1}],
        "picks": [{"server": "a", "started_ms": 5, "count": 2, "last_ms_ago": 4}]});
    let dump = parse_dump(2, 10_000, &page, &servers).expect("it is a page");
    let place = KeyAtProcess {
        key: 7,
        server: 3,
        started_ms: 5,
    };
    assert_eq!(
        dump.entries,
        [DumpedEntry {
            place,
            epoch: 1,
            ends: 9,
            renewed: true
        }]
    );
    assert_eq!((dump.sidecar, dump.picks), (2, vec![(3, 5, 6000)]));
    assert_eq!(parse_dump(2, 0, &json!({"slot": 8}), &servers), None);
}
