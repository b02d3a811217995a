//! Tests of `section.rs`.

use super::*;

#[test]
fn what_nothing_could_work_with_is_named() {
    let good = BindingsSection::default;
    assert!(good().check().is_ok());
    for (bad, key) in [
        (
            BindingsSection {
                slot: Time::ms(0),
                ..good()
            },
            "fleet.affinity_entries.slot",
        ),
        (
            BindingsSection {
                life_new: Time::ms(2000),
                ..good()
            },
            "fleet.affinity_entries.life_new",
        ),
        (
            BindingsSection {
                life_held: Time::ms(5000),
                ..good()
            },
            "fleet.affinity_entries.life_held",
        ),
        (
            BindingsSection { keys: 0, ..good() },
            "fleet.affinity_entries.keys",
        ),
        (
            BindingsSection {
                words_per_s: f64::NAN,
                ..good()
            },
            "fleet.affinity_entries.words_per_s",
        ),
    ] {
        let said = bad.check().expect_err(key);
        assert!(said.key == key, "{said:?}");
    }
}
