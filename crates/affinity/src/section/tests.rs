//! Tests of `section.rs`.

use super::*;

#[test]
fn unusable_settings_are_rejected_with_their_key() {
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
        let error = bad.check().expect_err(key);
        assert!(error.key == key, "{error:?}");
    }
}
