//! What members conclude of their own place. Each test names the invariant that it attacks.

mod lan;

use lan::{Lan, listed};
use load_balancer_gossip::connectivity::{ConnectivityState, Direction};
use load_balancer_gossip::effects::Note;
use load_balancer_gossip::observation_table::ObservedHealth;
use load_balancer_gossip::summary::ServerHealth;
use load_balancer_gossip::{Micros, SECOND, hash};

const PERIOD: Micros = SECOND;

/// Nothing passes between these two zones.
fn both(a: usize, b: usize) -> [(usize, usize); 2] {
    [(a, b), (b, a)]
}

fn all_are(lan: &Lan, kind: ConnectivityState) -> bool {
    lan.connectivity_states().iter().all(|k| *k == kind)
}

/// A member's cuts by zone, in their order, and whether it is on the larger side.
fn cut(lan: &Lan, member: usize) -> (Vec<(char, Direction)>, Option<bool>) {
    let connectivity = lan.cores[member]
        .as_ref()
        .map(|core| core.connectivity().clone())
        .unwrap_or_default();
    let name = |zone: u64| {
        ['a', 'b', 'c']
            .into_iter()
            .find(|z| hash(&z.to_string()) == zone)
            .unwrap_or('?')
    };
    let mut zones: Vec<_> = connectivity
        .unreachable_zones
        .iter()
        .map(|(zone, direction)| (name(*zone), *direction))
        .collect();
    zones.sort_unstable_by_key(|(zone, _)| *zone);
    (zones, connectivity.on_larger_side)
}

/// A cut is concluded within three probe periods by all, with its zones, way and sides; healed, all
/// are whole again and know all, and nobody sends more for it than a bound.
#[test]
fn a_cut_is_concluded_within_three_probe_periods_and_heals_without_a_storm() {
    for (seed, lost) in [(1, 0.0), (2, 0.0), (3, 0.3)] {
        let mut lan = Lan::settled(60, seed);
        lan.run(20 * SECOND);
        assert!(
            lan.notes.is_empty() && all_are(&lan, ConnectivityState::Connected),
            "seed {seed}: {:?}",
            lan.notes
        );
        lan.lost = lost;
        lan.cuts = [both(0, 1), both(0, 2)].concat();
        lan.run(3 * PERIOD);
        assert!(
            all_are(&lan, ConnectivityState::Partitioned),
            "seed {seed}: {:?}",
            lan.connectivity_states()
        );
        lan.run(2 * SECOND);
        let sides: Vec<_> = (0..60)
            .filter(|m| cut(&lan, *m).1 != Some(m % 3 != 0))
            .map(|m| (m, cut(&lan, m)))
            .collect();
        assert!(sides.is_empty(), "seed {seed}: {sides:?}");
        let wrong = |lan: &Lan, m: usize| match m % 3 {
            0 => cut(lan, m).0 != [('b', Direction::Both), ('c', Direction::Both)],
            _ => cut(lan, m).0 != [('a', Direction::Both)],
        };
        assert_eq!(
            (0..60).filter(|m| wrong(&lan, *m)).count(),
            0,
            "seed {seed}"
        );
        // Long enough that membership has given them up.
        lan.run(30 * SECOND);
        assert!(all_are(&lan, ConnectivityState::Partitioned), "seed {seed}");
        assert!(lost > 0.0 || lan.cores.iter().flatten().all(|c| c.members() < 45));
        (lan.lost, lan.cuts) = (0.0, Vec::new());
        let sent = |lan: &Lan| {
            lan.cores
                .iter()
                .flatten()
                .map(|c| c.counts().sent_bytes)
                .collect::<Vec<_>>()
        };
        let before = sent(&lan);
        lan.run(15 * SECOND);
        assert!(
            all_are(&lan, ConnectivityState::Connected),
            "seed {seed}: {:?}",
            lan.connectivity_states()
        );
        assert_eq!(lan.known(), [59; 60], "seed {seed}");
        let most = sent(&lan)
            .iter()
            .zip(before)
            .map(|(now, before)| now - before)
            .max();
        assert!(
            most.is_some_and(|bytes| bytes < 15 * 4_000),
            "{most:?} bytes in 15 s"
        );
    }
}

/// One way is told from both, on either side of it.
#[test]
fn a_cut_of_one_way_is_told_from_one_of_both() {
    let mut lan = Lan::settled(60, 4);
    lan.cuts = vec![(0, 1)];
    lan.run(3 * PERIOD);
    let of = |lan: &Lan, zone: usize, direction: (char, Direction)| {
        (zone..60)
            .step_by(3)
            .filter(|m| cut(lan, *m).0 == [direction])
            .count()
    };
    assert!((0..60).all(|m| lan.connectivity_states()[m]
        == [
            ConnectivityState::Partitioned,
            ConnectivityState::Partitioned,
            ConnectivityState::Connected
        ][m % 3]));
    // Which way it is comes through the third zone, and then stays.
    lan.run(7 * PERIOD);
    for _ in 0..20 {
        assert_eq!(
            (
                of(&lan, 0, ('b', Direction::ToThem)),
                of(&lan, 1, ('a', Direction::FromThem))
            ),
            (20, 20)
        );
        lan.run(PERIOD);
    }
    // Both sides hear two zones of three.
    assert!(
        (0..60)
            .filter(|m| m % 3 != 2)
            .all(|m| cut(&lan, m).1 == Some(true))
    );
}

/// Three zones without any way between them: each is cut from two, and none is the larger side.
#[test]
fn two_cuts_at_once_leave_no_larger_side() {
    let mut lan = Lan::settled(60, 5);
    lan.cuts = [both(0, 1), both(1, 2), both(0, 2)].concat();
    lan.run(3 * PERIOD);
    assert!(all_are(&lan, ConnectivityState::Partitioned));
    lan.run(SECOND);
    assert!((0..60).all(|m| cut(&lan, m).0.len() == 2 && cut(&lan, m).1 == Some(false)));
    assert!(
        lan.cores
            .iter()
            .flatten()
            .all(|c| !c.connectivity().may_answer_coordinator())
    );
}

/// A member that nothing reaches is alone, and no other one is moved by that; back again, it is
/// whole.
#[test]
fn one_that_hears_nobody_is_isolated_and_the_others_stay_connected() {
    let mut lan = Lan::settled(18, 6);
    lan.isolated = vec![7];
    lan.run(3 * PERIOD);
    let isolated: Vec<usize> = (0..18)
        .filter(|m| lan.connectivity_states()[*m] == ConnectivityState::Isolated)
        .collect();
    assert_eq!(isolated, [7]);
    assert!(
        (0..18).all(|m| m == 7 || lan.connectivity_states()[m] == ConnectivityState::Connected)
    );
    lan.run(20 * SECOND);
    assert_eq!(lan.connectivity_states()[7], ConnectivityState::Isolated);
    lan.isolated.clear();
    lan.run(20 * SECOND);
    assert!(
        all_are(&lan, ConnectivityState::Connected),
        "{:?}",
        lan.connectivity_states()
    );
}

/// Who was stopped suspects itself first: it is unwell for a while, and takes nobody for lost.
#[test]
fn one_that_was_stopped_is_degraded_and_nothing_else() {
    let mut lan = Lan::settled(18, 7);
    for member in [0, 1, 2] {
        lan.stopped[member] = lan.now + 6 * SECOND;
    }
    lan.run(7 * SECOND);
    assert!((0..3).all(|m| lan.connectivity_states()[m] == ConnectivityState::Degraded));
    lan.run(25 * SECOND);
    assert!(all_are(&lan, ConnectivityState::Connected));
    let kinds = |m: usize| {
        lan.notes
            .iter()
            .filter(move |n| n.1 == m)
            .map(|n| match &n.2 {
                Note::Connectivity { connectivity, .. } => Some(connectivity.state),
                _ => None,
            })
    };
    for m in 0..3 {
        assert!(
            kinds(m).all(|k| matches!(
                k,
                Some(ConnectivityState::Degraded | ConnectivityState::Connected)
            )),
            "{:?}",
            lan.notes
        );
    }
    assert!((3..18).all(|m| kinds(m).count() == 0), "{:?}", lan.notes);
}

/// A zone whose members ended is cut off while servers or discovery speak for its incarnation, and
/// has died once a fresh list names none of its endpoints as ready.
#[test]
fn a_zone_that_died_is_told_from_one_that_is_cut_by_discovery() {
    let mut lan = Lan::settled(18, 8);
    (0..18).step_by(3).for_each(|m| lan.cores[m] = None);
    for second in 0..40 {
        let list: Vec<_> = (0..lan::ENDPOINTS).map(listed).collect();
        let list = list
            .into_iter()
            .filter(|l| second < 20 || l.endpoint % 3 != 0);
        let list: Vec<_> = list.collect();
        for member in (0..18).filter(|m| m % 3 != 0) {
            lan.with(member, |core, now| {
                core.set_endpoints(now, list.clone());
                core.confirm_list(now);
            });
        }
        lan.run(SECOND);
        match second {
            3..19 => assert!(
                all_are(&lan, ConnectivityState::Partitioned),
                "second {second}: {:?}",
                lan.connectivity_states()
            ),
            23.. => assert!(
                all_are(&lan, ConnectivityState::Connected),
                "second {second}: {:?}",
                lan.connectivity_states()
            ),
            _ => {}
        }
    }
}

/// Where a third of the fleet has no connectivity state, or is of a version without it, the others
/// find theirs all the same.
#[test]
fn members_without_connectivity_are_heard_and_answer() {
    let mut lan = Lan::settled(60, 9);
    lan.connectivity = false;
    (0..60)
        .filter(|m| m / 3 % 3 == 0)
        .for_each(|m| lan.start(m));
    lan.run(20 * SECOND);
    assert!(
        all_are(&lan, ConnectivityState::Connected),
        "{:?}",
        lan.connectivity_states()
    );
    lan.cuts = [both(0, 1), both(0, 2)].concat();
    lan.run(4 * PERIOD);
    let wrong = (0..60)
        .filter(|m| {
            (m / 3 % 3 != 0) != (lan.connectivity_states()[*m] == ConnectivityState::Partitioned)
        })
        .count();
    assert_eq!(wrong, 0);
}

/// What a member tells the coordinator of servers needs reporters where it is bad, and lapses with
/// its bound.
#[test]
fn servers_are_well_where_somebody_was_served_and_sick_where_enough_were_not() {
    let mut lan = Lan::settled(18, 10);
    lan.sees([0, 1, 2], 4, ObservedHealth::Unhealthy);
    lan.sees([0], 5, ObservedHealth::Healthy);
    lan.sees([0], 6, ObservedHealth::Unhealthy);
    lan.run(SECOND);
    let states = |lan: &Lan| {
        let told = lan.cores[0]
            .as_ref()
            .map(|core| core.server_reports(lan.now))
            .expect("it runs");
        assert!(
            told.answers && told.connectivity == "whole" && told.member == "n0" && told.zone == "a"
        );
        assert_eq!(told.servers.len(), lan::ENDPOINTS);
        [4, 5, 6, 7].map(|n| {
            told.servers
                .iter()
                .find(|s| s.name == format!("s-{n}"))
                .map(|s| (s.state, s.age_ms))
        })
    };
    let seen = states(&lan);
    assert_eq!(
        seen[..2],
        [
            Some((ServerHealth::Unhealthy, 1000)),
            Some((ServerHealth::Healthy, 1000))
        ]
    );
    assert!(
        seen[2..]
            .iter()
            .all(|s| s.is_some_and(|(state, age)| state == ServerHealth::Unknown && age > 15_000))
    );
    lan.run(12 * SECOND);
    assert!(
        states(&lan)
            .iter()
            .all(|s| s.is_some_and(|(state, _)| state == ServerHealth::Unknown))
    );
}
