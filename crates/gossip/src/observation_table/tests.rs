//! Tests of `observation_table.rs`.

use super::*;
use proptest::prelude::*;

fn data() -> impl Strategy<Value = Vec<Observation>> {
    let observation = (
        0u64..12,
        0u64..2,
        0u64..6,
        0u64..2,
        0i64..30,
        0u64..2,
        any::<bool>(),
    );
    let observation = observation.prop_map(
        |(origin, incarnation, sequence, zone, seen, name, healthy)| Observation {
            origin,
            incarnation,
            sequence,
            zone,
            seen,
            process: Process { name, started: 0 },
            health: if healthy {
                ObservedHealth::Healthy
            } else {
                ObservedHealth::Unhealthy
            },
        },
    );
    proptest::collection::vec(observation, 0..60)
}

fn merged<'a>(data: impl Iterator<Item = &'a Observation>) -> ObservationTable {
    let mut table = ObservationTable::default();
    data.for_each(|d| {
        table.merge(*d);
    });
    table
}

/// Merges all observations of one table into another.
fn joined(mut one: ObservationTable, other: &ObservationTable) -> ObservationTable {
    other.observations.values().flatten().for_each(|d| {
        one.merge(*d);
    });
    one
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]
    // Duplicates, delay and reordering must not change the resulting table.
    #[test]
    fn order_repeats_and_grouping_change_nothing(mut data in data(), cut in 0usize..60, swaps in proptest::collection::vec(any::<prop::sample::Index>(), 0..60)) {
        // One origin never has two observations with the same sequence number.
        data.iter_mut().for_each(|d| {
            d.health = if (d.seen + d.sequence as i64) % 2 == 0 { ObservedHealth::Healthy } else { ObservedHealth::Unhealthy };
            d.incarnation = d.origin % 3;
        });
        let straight = merged(data.iter());
        prop_assert_eq!(&merged(data.iter().rev()), &straight);
        prop_assert_eq!(&merged(data.iter().chain(&data)), &straight);
        let mut shuffled = data.clone();
        if !shuffled.is_empty() {
            for (i, swap) in swaps.iter().enumerate() {
                let (i, other) = (i % shuffled.len(), swap.index(shuffled.len()));
                shuffled.swap(i, other);
            }
        }
        prop_assert_eq!(&merged(shuffled.iter()), &straight);
        let (one, other) = data.split_at(cut.min(data.len()));
        let (one, other) = (merged(one.iter()), merged(other.iter()));
        prop_assert_eq!(&joined(one.clone(), &other), &straight);
        prop_assert_eq!(&joined(other, &one), &straight);
        let mut aged = straight;
        aged.drop_before(15);
        for origin in 0..12 {
            let unhealthy = |d: &&Observation| d.origin == origin && d.health == ObservedHealth::Unhealthy;
            prop_assert_eq!(aged.unhealthy_count(origin), aged.observations.values().flatten().filter(unhealthy).count());
        }
    }
}

#[test]
fn the_newest_of_each_origin_are_kept_and_what_is_too_old_goes() {
    let process = Process {
        name: 1,
        started: 0,
    };
    let observation = |origin, seen, health| Observation {
        origin,
        incarnation: 1,
        sequence: seen as u64,
        zone: 0,
        seen,
        process,
        health,
    };
    let mut table = ObservationTable::default();
    assert_eq!(
        table.merge(observation(1, 5, ObservedHealth::Unhealthy)),
        MergeResult::Added {
            newer_with_same_health: 0
        }
    );
    assert_eq!(
        table.merge(observation(1, 4, ObservedHealth::Healthy)),
        MergeResult::Unchanged,
        "a newer observation of the same origin exists"
    );
    assert_eq!(
        table.merge(observation(2, 4, ObservedHealth::Unhealthy)),
        MergeResult::Added {
            newer_with_same_health: 1
        }
    );
    assert_eq!(
        table.merge(observation(1, 9, ObservedHealth::Healthy)),
        MergeResult::Added {
            newer_with_same_health: 0
        }
    );
    for origin in 3..20 {
        table.merge(observation(
            origin,
            origin as i64 + 10,
            ObservedHealth::Unhealthy,
        ));
    }
    assert_eq!(table.len(), MAX_OBSERVATIONS_PER_ZONE);
    let kept: Vec<u64> = table
        .observations_of(process)
        .flat_map(|(_, data)| data)
        .map(|d| d.origin)
        .collect();
    assert_eq!(
        kept,
        [19, 18, 17, 16, 15, 14],
        "the newest observations are kept"
    );
    table.drop_before(29);
    assert_eq!(table.processes().count(), 1);
    assert_eq!(table.len(), 1);
    table.drop_before(30);
    assert!(table.is_empty());
}

#[test]
fn a_full_table_takes_no_further_process() {
    let mut table = ObservationTable::default();
    let observation = |name| Observation {
        origin: 1,
        incarnation: 1,
        sequence: 1,
        zone: 0,
        seen: 1,
        process: Process { name, started: 0 },
        health: ObservedHealth::Unhealthy,
    };
    (0..MAX_PROCESS_ZONES as u64).for_each(|name| {
        assert_eq!(
            table.merge(observation(name)),
            MergeResult::Added {
                newer_with_same_health: 0
            }
        )
    });
    assert_eq!(
        table.merge(observation(MAX_PROCESS_ZONES as u64)),
        MergeResult::Full
    );
    assert_eq!(
        table.merge(Observation {
            seen: 2,
            sequence: 2,
            ..observation(0)
        }),
        MergeResult::Added {
            newer_with_same_health: 0
        }
    );
}
