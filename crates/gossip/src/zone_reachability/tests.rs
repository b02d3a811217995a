//! Tests of `zone_reachability.rs`.

use super::*;

#[test]
fn a_zone_is_lost_only_once_enough_probes_had_time_to_be_answered_and_soon_enough() {
    let (mut followed, mut heard) = (ZoneReachability::default(), ZoneContacts::default());
    let z = ZoneFacts {
        zone: 2,
        running: 20,
        known: 20,
        ..ZoneFacts::default()
    };
    heard.record_contact(0, 1, 2, true);
    let mut sent = Vec::new();
    let lost_at = (0..40).map(|tenth| tenth * SECOND / 10).find(|&now| {
        let looked = followed.assess(now, (1, &z, 60), &heard, 0);
        sent.push((now, looked.probes));
        followed.lost_direction().is_some()
    });
    let at = lost_at.expect("a silent zone is lost");
    assert!(at <= LOST_AFTER_REPORT, "{at}");
    let answerable: usize = sent
        .iter()
        .filter(|(then, _)| at - then >= PROBE_INTERVAL)
        .map(|(_, n)| n)
        .sum();
    assert!(
        answerable >= UNANSWERED_UNTIL_LOST as usize,
        "{answerable} of {sent:?}"
    );
}
