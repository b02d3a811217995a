//! Tests of `process.rs`.

use super::*;

#[test]
fn the_formats_of_the_system_are_parsed() {
    assert_eq!(
        parse_resident_bytes("Name:\ta\nVmRSS:\t    1796 kB\n"),
        Some(1796 * 1024)
    );
    assert_eq!(parse_resident_bytes("Name:\ta\n"), None);
    let limits = "Limit   Soft Limit   Hard Limit   Units\nMax open files            1024   524288   files\n";
    assert_eq!(parse_max_descriptors(limits), Some(1024));
    assert_eq!(
        parse_max_descriptors("Max open files            unlimited   unlimited   files\n"),
        None
    );
    let stat = "7 (a) b) S 1 7 7 0 -1 4194560 92 0 0 0 250 50 0 0 20 0 1 0 1 1 1";
    assert_eq!(parse_cpu_seconds(stat), Some(3.0));
    assert_eq!(parse_cpu_seconds("nothing"), None);
    let usage = usage();
    assert!(
        usage.resident_bytes.is_some_and(|b| b > 0) && usage.descriptors.is_some_and(|n| n > 0)
    );
    assert!(
        usage_of(std::process::id()).resident_bytes.is_some()
            && usage_of(u32::MAX) == Usage::default()
    );
}
