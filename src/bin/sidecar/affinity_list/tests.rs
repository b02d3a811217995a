//! Tests of `affinity_list.rs`.

use super::*;

#[test]
fn who_drains_or_is_gone_is_the_process_that_it_was_and_takes_nothing() {
    let listed = |name: &str, started: Option<i64>, ready| ObservedEndpoint {
        endpoint: name.len(),
        name: name.to_owned(),
        started: started.map(|ms| ms * 1000),
        ready,
    };
    let process = |name: &str, started| Process {
        name: hash(name.as_bytes()),
        started,
    };
    let mut list = ProcessList::default();
    assert!(
        list.update([listed("a", Some(7), true), listed("bb", None, true)].iter())
            .is_empty()
    );
    let closed = list.update([listed("a", None, false), listed("bb", Some(9), true)].iter());
    assert_eq!(closed, HashSet::from([process("a", 7), process("bb", 0)]));
    let closed = list.update([listed("bb", Some(9), true)].iter());
    assert_eq!(closed, HashSet::from([process("a", 7), process("bb", 0)]));
    assert!(
        list.update([listed("a", Some(7), true), listed("bb", None, true)].iter())
            .contains(&process("bb", 9))
    );
    assert_eq!(list.endpoints[&process("a", 7)], 1);
}
