//! Tests of `message_size.rs`.

use super::*;
use hyper::header::{HeaderName, HeaderValue};

fn headers(number: usize) -> HeaderMap {
    let field = |n| {
        let name = HeaderName::try_from(format!("f{n}")).expect("a name");
        (name, HeaderValue::from_static(""))
    };
    (0..number).map(field).collect()
}

// A field of a few bytes is not small once it is parsed.
#[test]
fn many_short_fields_are_no_small_head() {
    let none = SizeHint::with_exact(0);
    assert!(MessageSize::of(&headers(9), &none, 100).is_small());
    assert!(!MessageSize::of(&headers(90), &none, 100).has_small_head());
}

#[test]
fn a_body_without_a_length_counts_as_the_longest() {
    let size = |hint| MessageSize::of(&headers(1), &hint, 60_000).body;
    assert_eq!(size(SizeHint::with_exact(5)), 5);
    assert_eq!(size(SizeHint::with_exact(u64::MAX)), 60_000);
    assert_eq!(size(SizeHint::default()), 60_000);
}
