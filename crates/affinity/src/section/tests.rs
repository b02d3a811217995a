//! Tests of `section.rs`.

use super::*;

#[test]
fn what_nothing_could_work_with_is_named() {
    let good = AffinityEntriesSection::default;
    assert!(good().check().is_ok());
    for (bad, key) in [
        (
            AffinityEntriesSection {
                slot: Time::ms(0),
                ..good()
            },
            "fleet.affinity_entries.slot",
        ),
        (
            AffinityEntriesSection {
                first_lifetime: Time::ms(2000),
                ..good()
            },
            "fleet.affinity_entries.first_lifetime",
        ),
        (
            AffinityEntriesSection {
                renewed_lifetime: Time::ms(5000),
                ..good()
            },
            "fleet.affinity_entries.renewed_lifetime",
        ),
        (
            AffinityEntriesSection { keys: 0, ..good() },
            "fleet.affinity_entries.keys",
        ),
        (
            AffinityEntriesSection {
                updates_per_s: f64::NAN,
                ..good()
            },
            "fleet.affinity_entries.updates_per_s",
        ),
    ] {
        let said = bad.check().expect_err(key);
        assert!(said.key == key, "{said:?}");
    }
}
