//! Tests of `view_comparison.rs`.

use super::*;
use crate::hash;

fn digest(members: std::ops::Range<usize>) -> Digest {
    Digest::from_origins(members.map(|n| hash(&format!("n{n}"))))
}

#[test]
fn a_twentieth_may_differ_and_more_is_seen() {
    assert!(!digest(0..60).differs(&digest(0..60)) && !digest(0..60).differs(&digest(0..59)));
    assert!(digest(0..60).differs(&digest(0..50)) && digest(0..60).differs(&digest(10..60)));
    assert!(digest(0..6).differs(&digest(0..5)), "one of six");
    assert!(!digest(0..1000).differs(&digest(0..980)) && digest(0..1000).differs(&digest(0..850)));
    let (parts, members) = digest(0..9).parts();
    assert_eq!(Digest::from_parts(parts, members), digest(0..9));
}

#[test]
fn a_dispute_takes_longer_than_news_and_ends_once_views_settle() {
    let mut views = ViewComparison::default();
    let mut at = 0;
    let mut run = |views: &mut ViewComparison, seconds: i64, differs: bool| {
        for _ in 0..2 * seconds {
            at += SECOND / 2;
            views.record(at, differs);
        }
        views.is_divergent(at)
    };
    assert!(!run(&mut views, 10, false) && !run(&mut views, 11, true));
    assert!(run(&mut views, 3, true) && run(&mut views, 2, false));
    assert!(!run(&mut views, 4, false));
}
