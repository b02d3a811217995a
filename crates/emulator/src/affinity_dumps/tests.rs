//! Tests of `dumps.rs`.

use super::*;
use serde_json::json;

#[test]
fn a_page_is_read_and_servers_that_are_not_of_the_play_are_left_out() {
    let servers = HashMap::from([("a".to_owned(), 3)]);
    let binding = |server: &str| json!({"key": 7, "server": server, "started_ms": 5, "epoch": 1, "ends": 9, "held": true});
    let page = json!({"slot": 8, "hears": true, "bindings": [binding("a"), binding("b"), {"key": 1}],
        "picks": [{"server": "a", "started_ms": 5, "count": 2, "last_ms_ago": 4}]});
    let dump = read(2, 10_000, &page, &servers).expect("it is a page");
    let place = Place {
        key: 7,
        server: 3,
        started_ms: 5,
    };
    assert_eq!(
        dump.held,
        [Held {
            place,
            epoch: 1,
            ends: 9,
            again: true
        }]
    );
    assert_eq!((dump.sidecar, dump.picks), (2, vec![(3, 5, 6000)]));
    assert_eq!(read(2, 0, &json!({"slot": 8}), &servers), None);
}
