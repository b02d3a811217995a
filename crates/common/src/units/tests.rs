//! Tests of `units.rs`.

use super::*;
use proptest::prelude::*;

#[test]
fn a_unit_is_required_and_must_be_known() {
    for (text, ms) in [("250ms", 250), ("2s", 2000), ("1m 30s", 90_000), ("0s", 0)] {
        assert_eq!(text.parse(), Ok(Time::ms(ms)), "{text}");
    }
    for (text, bytes) in [
        ("64KiB", 65_536),
        ("200B", 200),
        ("1.5MiB", 1_572_864),
        ("2kB", 2000),
    ] {
        assert_eq!(text.parse(), Ok(Size(bytes)), "{text}");
    }
    for bad in [
        "",
        "250",
        "0",
        "250 parsecs",
        "-1s",
        "64KiB",
        "ms",
        "1e400s",
        "99999999999999999999s",
    ] {
        assert!(bad.parse::<Time>().is_err(), "{bad}");
    }
    for bad in ["", "64", "64K", "64ms", "-1B", "KiB", "NaNB", "1s"] {
        assert!(bad.parse::<Size>().is_err(), "{bad}");
    }
}

proptest! {
    // `--check` prints the effective configuration, which must be the same when it is parsed again.
    #[test]
    fn what_is_written_reads_the_same(us in 0u64..1 << 50, bytes in 0u64..1 << 50, shift in 0u32..20) {
        let time = Time(Duration::from_micros(us));
        prop_assert_eq!(time.to_string().parse(), Ok(time));
        let size = Size(bytes >> shift << shift);
        prop_assert_eq!(size.to_string().parse(), Ok(size));
    }
}
