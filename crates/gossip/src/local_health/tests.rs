//! Tests of `local_health.rs`.

use super::*;

#[test]
fn one_stop_or_many_short_ones_make_it_degraded_for_a_while() {
    let mut health = LocalHealth::default();
    let mut now = 0;
    let mut run = |health: &mut LocalHealth, ticks: i64, late: Micros| {
        for _ in 0..ticks {
            let due = now + SECOND / 10;
            now = due + late;
            health.record_wakeup(now, due);
        }
        health.is_degraded()
    };
    assert!(!run(&mut health, 100, SECOND / 20), "slightly late");
    assert!(run(&mut health, 1, 3 * SECOND) && run(&mut health, 60, 0));
    assert!(!run(&mut health, 40, 0), "recovered");
    assert!(run(&mut health, 20, SECOND / 4), "short of processor time");
}
