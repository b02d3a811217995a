//! Tests of `standing_zone.rs`.

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
    heard.came(0, 1, 2, true);
    let mut sent = Vec::new();
    let lost_at = (0..40).map(|tenth| tenth * SECOND / 10).find(|&now| {
        let looked = followed.look(now, (1, &z, 60), &heard, 0);
        sent.push((now, looked.ask));
        followed.lost().is_some()
    });
    let at = lost_at.expect("nothing is heard of it");
    assert!(at <= LOST_TOLD, "{at}");
    let answerable: usize = sent
        .iter()
        .filter(|(then, _)| at - then >= ROUND)
        .map(|(_, n)| n)
        .sum();
    assert!(answerable >= ASKED as usize, "{answerable} of {sent:?}");
}
