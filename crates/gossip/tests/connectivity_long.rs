//! Standing at sizes and over times that CI has no room for: a smaller part by default, all by
//! environment variables (docs/gossip.md has the figures).

mod lan;

use lan::Lan;
use load_balancer_gossip::SECOND;
use load_balancer_gossip::connectivity::ConnectivityState;
use load_balancer_gossip::effects::Note;

/// A number from the environment, for runs by hand.
fn asked(name: &str, usually: usize) -> usize {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(usually)
}

/// Nothing is cut, and three datagrams in ten are lost: fewer than one of 1,000 member-hours has a
/// member that takes itself for cut or alone. FLEET_PIECES runs more fragments of FLEET_MINUTES
/// each, of 60 members.
#[test]
fn loss_alone_cuts_nobody() {
    let (message_parts, minutes) = (asked("FLEET_PIECES", 1), asked("FLEET_MINUTES", 3));
    let first = asked("FLEET_SEED", 1);
    let (mut wrong, mut others) = (0, 0);
    for seed in first..first + message_parts {
        let mut lan = Lan::settled(60, seed as u64);
        lan.lost = 0.3;
        lan.run(minutes as i64 * 60 * SECOND);
        for (at, member, note) in &lan.notes {
            let Note::Connectivity { connectivity, .. } = note else {
                continue;
            };
            match connectivity.state {
                ConnectivityState::Partitioned | ConnectivityState::Isolated => {
                    wrong += 1;
                    println!(
                        "seed {seed}, {} s: n{member} {connectivity:?}",
                        (at - lan::EPOCH) / SECOND
                    );
                }
                ConnectivityState::Divergent | ConnectivityState::Degraded => others += 1,
                ConnectivityState::Connected => {}
            }
        }
    }
    let hours = (60 * message_parts * minutes) as f64 / 60.0;
    println!(
        "{hours:.0} member-hours: {wrong} times cut or alone, {others} times disputed or unwell"
    );
    assert!(
        (wrong as f64) < (hours / 1000.0).max(1.0),
        "{wrong} in {hours} member-hours"
    );
}

/// A zone is cut from a large fleet: all conclude it within three probe periods, and all are whole
/// some time after it heals. FLEET_MEMBERS says how many.
#[test]
fn a_cut_of_a_large_fleet_is_concluded_as_soon() {
    let members = asked("FLEET_MEMBERS", 120);
    for seed in [asked("FLEET_SEED", 1) as u64] {
        let mut lan = Lan::acquainted(members, seed);
        let wrong = |lan: &Lan, kind| {
            lan.connectivity_states()
                .iter()
                .filter(|k| **k != kind)
                .count()
        };
        assert_eq!(wrong(&lan, ConnectivityState::Connected), 0, "seed {seed}");
        lan.cuts = vec![(0, 1), (1, 0), (0, 2), (2, 0)];
        let mut concluded = None;
        for tenth in 1..=30 {
            lan.run(SECOND / 10);
            if wrong(&lan, ConnectivityState::Partitioned) == 0 {
                concluded = concluded.or(Some(tenth));
            }
        }
        println!(
            "{members} members, seed {seed}: concluded by all after {concluded:?} tenths of a second"
        );
        assert_eq!(
            wrong(&lan, ConnectivityState::Partitioned),
            0,
            "seed {seed}"
        );
        lan.run(2 * SECOND);
        lan.cuts.clear();
        let sent = |lan: &Lan| {
            lan.cores
                .iter()
                .flatten()
                .map(|c| c.counts().sent_bytes)
                .collect::<Vec<_>>()
        };
        let before = sent(&lan);
        lan.run(15 * SECOND);
        let most = sent(&lan)
            .iter()
            .zip(before)
            .map(|(now, before)| now - before)
            .max()
            .unwrap_or(0);
        println!(
            "healed: {} are not whole after 15 s; {most} bytes by one",
            wrong(&lan, ConnectivityState::Connected)
        );
        assert_eq!(wrong(&lan, ConnectivityState::Connected), 0, "seed {seed}");
        assert!(most < 15 * 36_000, "{most} bytes in 15 s");
    }
}
